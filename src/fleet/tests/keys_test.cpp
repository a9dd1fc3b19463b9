#include "fleet/internal/parsedkey.h"
#include "fleet/tests/simulatedfleet.h"
#include "fleet/tests/testdocument.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t FleetSize = 5;

/// Long enough for every owner to have passed its takeover wait.
constexpr framework::Duration ConvergenceTime = 15s;

class KeyedFleet {
public:
  explicit KeyedFleet(std::uint64_t Seed) : Fleet_(FleetSize, Seed) {
    Fleet_.platform().publishDocument(framework::Revision(1),
                                      makeDocument(true));
    Fleet_.startAll();
    Fleet_.advance(ConvergenceTime);
  }

  SimulatedFleet &fleet() { return Fleet_; }

  std::string makeKey(framework::Duration Age = {}) {
    const auto Wall = Fleet_.momentOf(0).Wall_.time_since_epoch() - Age;
    const auto Milliseconds = static_cast<unsigned long long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Wall).count());
    char Text[64];
    std::snprintf(Text, sizeof(Text), "%08llx-%04llx-7000-8000-%012llx",
                  Milliseconds >> 16, Milliseconds & 0xffff, NextKey_++);
    return Text;
  }

  /// Sends a key through an instance and returns the decision, one second
  /// later.
  KeyDecided send(std::size_t Index, const std::string &Key) {
    const framework::CallId Call(NextCall_++);
    Fleet_.run(
        Index, [&](Fleet &Self, framework::Moment Now, OutputList &Output) {
          Self.requestKey(Call, framework::IdempotencyKey(Key), Now, Output);
        });
    Fleet_.advance(1s);
    return Fleet_.instance(Index).Decisions_.at(Call);
  }

  /// Sends new keys through an instance at once and returns how many may run.
  std::size_t countRuns(std::size_t Index, std::size_t Count) {
    const std::uint64_t First = NextCall_;
    for (; NextCall_ < First + Count; ++NextCall_)
      Fleet_.run(
          Index, [&](Fleet &Self, framework::Moment Now, OutputList &Output) {
            Self.requestKey(framework::CallId(NextCall_),
                            framework::IdempotencyKey(makeKey()), Now, Output);
          });
    Fleet_.advance(1s);
    std::size_t Runs = 0;
    for (std::uint64_t Call = First; Call < NextCall_; ++Call) {
      const KeyDecided &Decided =
          Fleet_.instance(Index).Decisions_.at(framework::CallId(Call));
      Runs += Decided.Decision_ == KeyDecision::Run ? 1 : 0;
    }
    return Runs;
  }

  void endCall(std::size_t Index, framework::CallId Call, calls::Ending Ending,
               bool IsResponseStored) {
    Fleet_.run(
        Index, [&](Fleet &Self, framework::Moment Now, OutputList &Output) {
          Self.handleKeyedCallEnd(Call, Ending, IsResponseStored, Now, Output);
        });
    Fleet_.advance(1s);
  }

private:
  SimulatedFleet Fleet_;
  unsigned long long NextKey_ = 1;
  std::uint64_t NextCall_ = 1;
};

} // namespace

TEST_CASE("only a UUID version 7 is a valid key", "[fleet]") {
  const auto Key = parseKey(
      framework::IdempotencyKey("0190A0F0-0000-7abc-8000-000000000001"));
  REQUIRE(Key);
  CHECK(Key->Key_.value() == "0190a0f0-0000-7abc-8000-000000000001");
  CHECK(Key->Time_ ==
        framework::WallTime(std::chrono::milliseconds(0x0190a0f00000)));
  for (const char *Text :
       {"", "x", "0190a0f0-0000-4abc-8000-000000000001",
        "0190a0f0-0000-7abc-0000-000000000001",
        "0190a0f000007abc8000000000000001", "{190a0f0-0000-7abc-8000-00000000}",
        "0190a0f0-0000-7abc-8000-00000000000g"})
    CHECK_FALSE(parseKey(framework::IdempotencyKey(Text)));
}

TEST_CASE("a key runs once and its stored response is replayed", "[fleet]") {
  KeyedFleet Fleet(31);
  const std::string Key = Fleet.makeKey();
  const KeyDecided First = Fleet.send(0, Key);
  REQUIRE(First.Decision_ == KeyDecision::Run);
  CHECK(Fleet.send(1, Key).Decision_ == KeyDecision::InProgress);
  Fleet.endCall(0, First.Call_, calls::Ending::Answered, true);
  const KeyDecided Other = Fleet.send(2, Key);
  CHECK(Other.Decision_ == KeyDecision::Replay);
  CHECK(Other.PeerAddress_ == Fleet.fleet().instance(0).Address_);
  CHECK(Other.PeerCall_ == First.Call_);
  const KeyDecided Own = Fleet.send(0, Key);
  CHECK(Own.Decision_ == KeyDecision::Replay);
  CHECK(Own.PeerAddress_.empty());
}

TEST_CASE("a key may run again after a call that did not run", "[fleet]") {
  KeyedFleet Fleet(32);
  const std::string Key = Fleet.makeKey();
  const KeyDecided First = Fleet.send(0, Key);
  REQUIRE(First.Decision_ == KeyDecision::Run);
  Fleet.endCall(0, First.Call_, calls::Ending::NotRun, false);
  const KeyDecided Second = Fleet.send(1, Key);
  REQUIRE(Second.Decision_ == KeyDecision::Run);
  Fleet.endCall(1, Second.Call_, calls::Ending::Unknown, false);
  CHECK(Fleet.send(2, Key).Decision_ == KeyDecision::ResponseUnavailable);
}

TEST_CASE("expired and invalid keys are refused", "[fleet]") {
  KeyedFleet Fleet(33);
  CHECK(Fleet.send(0, Fleet.makeKey(3min)).Decision_ == KeyDecision::TooOld);
  CHECK(Fleet.send(0, Fleet.makeKey(-10s)).Decision_ == KeyDecision::Invalid);
  CHECK(Fleet.send(0, "certificate 12").Decision_ == KeyDecision::Invalid);
}

TEST_CASE("a planned shutdown hands over all keys and refuses none",
          "[fleet]") {
  KeyedFleet Fleet(34);
  std::vector<std::string> Keys;
  std::vector<KeyDecided> FirstDecisions;
  for (int Count = 0; Count < 30; ++Count) {
    Keys.push_back(Fleet.makeKey());
    FirstDecisions.push_back(Fleet.send(0, Keys.back()));
    REQUIRE(FirstDecisions.back().Decision_ == KeyDecision::Run);
  }
  const std::string UnusedKey = Fleet.makeKey();
  Fleet.fleet().setLeaving(2, true);
  Fleet.fleet().publishList();
  Fleet.fleet().advance(2s);
  CHECK(Fleet.fleet().fleet(2).isHandoverDone());
  Fleet.fleet().kill(2);
  for (const std::string &Key : Keys)
    CHECK(Fleet.send(1, Key).Decision_ == KeyDecision::InProgress);
  CHECK(Fleet.send(1, UnusedKey).Decision_ == KeyDecision::Run);
  for (int Count = 0; Count < 30; ++Count)
    CHECK(Fleet.send(3, Fleet.makeKey()).Decision_ == KeyDecision::Run);
}

TEST_CASE("keys sent while the fleet converges after a planned shutdown run",
          "[fleet]") {
  for (const framework::Duration After : {0ms, 50ms, 100ms, 200ms, 400ms}) {
    KeyedFleet Fleet(38);
    Fleet.fleet().setLeaving(2, true);
    Fleet.fleet().publishList();
    Fleet.fleet().advance(After);
    CHECK(Fleet.countRuns(0, 40) == 40);
    CHECK(Fleet.countRuns(1, 40) == 40);
  }
}

TEST_CASE("keys do not run again after a crash of their owner", "[fleet]") {
  for (std::size_t Crashed = 1; Crashed < FleetSize; ++Crashed) {
    KeyedFleet Fleet(35);
    const std::string Key = Fleet.makeKey();
    REQUIRE(Fleet.send(0, Key).Decision_ == KeyDecision::Run);
    Fleet.fleet().kill(Crashed);
    Fleet.fleet().setLeaving(Crashed, true);
    Fleet.fleet().publishList();
    for (int Second = 0; Second < 30; ++Second)
      CHECK(Fleet.send(0, Key).Decision_ != KeyDecision::Run);
    CHECK(Fleet.send(0, Fleet.makeKey()).Decision_ == KeyDecision::Run);
  }
}

TEST_CASE("an owner that left and returned does not run keys it handed over",
          "[fleet]") {
  KeyedFleet Fleet(36);
  std::vector<std::string> Keys;
  for (int Count = 0; Count < 20; ++Count) {
    Keys.push_back(Fleet.makeKey());
    REQUIRE(Fleet.send(0, Keys.back()).Decision_ == KeyDecision::Run);
  }
  SimulatedFleet &Instances = Fleet.fleet();
  Instances.setLeaving(1, true);
  Instances.publishList();
  Instances.advance(700ms);
  Instances.kill(2);
  Instances.kill(3);
  Instances.setLeaving(1, false);
  Instances.publishList();
  Instances.advance(300ms);
  Instances.setLeaving(4, true);
  Instances.publishList();
  Instances.advance(1s);
  Instances.start(2);
  Instances.start(3);
  Instances.setLeaving(4, false);
  Instances.publishList();
  for (int Round = 0; Round < 2; ++Round) {
    for (const std::string &Key : Keys)
      CHECK(Fleet.send(0, Key).Decision_ != KeyDecision::Run);
  }
}
