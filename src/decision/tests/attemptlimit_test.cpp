#include "decision/tests/storefixture.h"

#include "framework/random.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using framework::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The attempts that the fixture's routes allow.
constexpr std::size_t MaxAttempts = 2;

/// Returns an answer that ends its connection.
AttemptAnswered makeFinalAnswer(const SendAttempt &Sent) {
  AttemptAnswered Answer = StoreFixture::makeAnswer(Sent);
  Answer.IsReusable_ = false;
  return Answer;
}

/// Returns a fixture with warm targets, a retry budget and no idle connections.
StoreFixture makeWarmFixture(Duration ConnectTime,
                             CoreSettings Settings = StoreFixture::settings()) {
  StoreFixture Fixture(std::move(Settings));
  // In its first second an instance probes each target only once.
  Fixture.pass(milliseconds(1'100));
  Fixture.answerProbes(framework::TargetId(99), 100);
  // Calls enlarge the retry budget. Their connections are not kept.
  for (std::uint64_t Id = 1001; Id <= 1010; ++Id)
    for (const auto &Sent :
         StoreFixture::actionsOf<SendAttempt>(Fixture.sendCall(Id, "/a/x")))
      Fixture.deliver(makeFinalAnswer(Sent));
  Fixture.ConnectTime_ = ConnectTime;
  return Fixture;
}

/// Plays calls whose attempts are answered, fail or stay unanswered at random.
class RandomCalls {
public:
  explicit RandomCalls(std::uint64_t Seed)
      : Rng_(Seed),
        Fixture_(makeWarmFixture(milliseconds(1 + Rng_.index(60)))) {}

  void play(std::uint64_t Calls) {
    constexpr int StepsPerCall = 6;
    for (std::uint64_t Id = 1; Id <= Calls; ++Id) {
      record(Fixture_.sendCall(Id, "/a/x"));
      for (int Step = 0; Step < StepsPerCall; ++Step) {
        record(Fixture_.pass(milliseconds(Rng_.index(40))));
        if (!Running_.empty() && isDrawn(0.6))
          endRandomAttempt();
      }
    }
  }

  /// Returns the number of calls with more than `MaxAttempts` attempts, not
  /// counting attempts of which nothing was written.
  std::size_t callsBeyondLimit() const {
    return static_cast<std::size_t>(
        std::count_if(Sent_.begin(), Sent_.end(), [](const auto &Entry) {
          return Entry.second.size() > MaxAttempts;
        }));
  }

private:
  bool isDrawn(double Probability) { return Rng_.fraction() < Probability; }

  void record(const ActionList &Actions) {
    for (const auto &Each : StoreFixture::actionsOf<SendAttempt>(Actions)) {
      Sent_[Each.Call_].insert(Each.Attempt_);
      Running_.push_back(Each);
    }
  }

  void endRandomAttempt() {
    const std::size_t Position = Rng_.index(Running_.size());
    const SendAttempt Ended = Running_[Position];
    Running_.erase(Running_.begin() + static_cast<std::ptrdiff_t>(Position));
    if (isDrawn(0.5))
      record(Fixture_.deliver(
          StoreFixture::makeAnswer(Ended, isDrawn(0.5) ? 500 : 200)));
    else
      fail(Ended);
  }

  void fail(const SendAttempt &Ended) {
    AttemptFailed Failed = StoreFixture::makeReset(Ended);
    if (isDrawn(0.3)) {
      Failed.Written_ = calls::WriteState::NothingWritten;
      Sent_[Ended.Call_].erase(Ended.Attempt_);
    }
    record(Fixture_.deliver(Failed));
  }

  framework::Random Rng_;
  StoreFixture Fixture_;
  std::map<framework::CallId, std::set<framework::AttemptId>> Sent_;
  std::vector<SendAttempt> Running_;
};

} // namespace

TEST_CASE("an attempt that waits for a connection is reported as waiting, and "
          "as sent once it is sent",
          "[attempts]") {
  CoreSettings Settings = StoreFixture::settings();
  Settings.ReportsAttempts_ = true;
  StoreFixture Fixture = makeWarmFixture(milliseconds(20), std::move(Settings));
  auto Reports =
      StoreFixture::actionsOf<ReportAttempt>(Fixture.sendCall(1, "/a/x"));
  REQUIRE(Reports.size() == 1);
  CHECK_FALSE(Reports[0].IsSent_);
  CHECK(Reports[0].SentAttempts_ == 0);
  CHECK(Reports[0].MaxAttempts_ == 2);
  CHECK(Reports[0].InFlight_ == 0);
  Reports =
      StoreFixture::actionsOf<ReportAttempt>(Fixture.pass(milliseconds(30)));
  REQUIRE(Reports.size() == 1);
  CHECK(Reports[0].IsSent_);
  CHECK(Reports[0].SentAttempts_ == 1);
  CHECK(Reports[0].Waited_ >= milliseconds(20));
}

TEST_CASE(
    "a repeat is reported with what caused it and the budget that it uses",
    "[attempts]") {
  CoreSettings Settings = StoreFixture::settings();
  Settings.ReportsAttempts_ = true;
  StoreFixture Fixture = makeWarmFixture(milliseconds(20), std::move(Settings));
  Fixture.sendCall(1, "/a/x");
  const auto First =
      StoreFixture::actionsOf<SendAttempt>(Fixture.pass(milliseconds(20)));
  REQUIRE(First.size() == 1);
  Fixture.deliver(StoreFixture::makeReset(First[0]));
  const auto Reports =
      StoreFixture::actionsOf<ReportAttempt>(Fixture.pass(milliseconds(20)));
  REQUIRE(Reports.size() == 1);
  CHECK(Reports[0].Kind_ == calls::AttemptKind::Retry);
  CHECK(Reports[0].Previous_ == routing::AttemptResult::ConnectionFailed);
  REQUIRE(Reports[0].Budget_);
  CHECK(Reports[0].Budget_->Extras_ == 1);
  CHECK(Reports[0].Budget_->Calls_ >= 11);
}

TEST_CASE("a hedge is not sent beyond the route's attempts while a retry waits "
          "for its connection",
          "[attempts]") {
  StoreFixture Fixture = makeWarmFixture(milliseconds(20));
  const auto First =
      StoreFixture::actionsOf<SendAttempt>(Fixture.sendCall(1, "/a/x"));
  const auto Delayed =
      StoreFixture::actionsOf<SendAttempt>(Fixture.pass(milliseconds(20)));
  REQUIRE(First.empty());
  REQUIRE(Delayed.size() == 1);
  // The hedge timer expires 90 ms after the first attempt was sent.
  Fixture.pass(milliseconds(75));
  Fixture.deliver(StoreFixture::makeReset(Delayed[0]));
  const auto Later =
      StoreFixture::actionsOf<SendAttempt>(Fixture.pass(milliseconds(100)));
  CHECK(Later.size() == 1);
}

TEST_CASE("no order of failures, answers and slow connections sends a call to "
          "more targets than its route allows",
          "[attempts]") {
  constexpr std::uint64_t Seeds = 200;
  constexpr std::uint64_t CallsPerSeed = 40;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RandomCalls Simulation(Seed);
    Simulation.play(CallsPerSeed);
    INFO("seed " << Seed);
    CHECK(Simulation.callsBeyondLimit() == 0);
  }
}

TEST_CASE(
    "retries that were granted earlier and sent later count in the window "
    "in which they are sent",
    "[attempts]") {
  constexpr std::uint64_t CallsPerWindow = 10;
  constexpr std::uint64_t LostPerWindow = 3;
  CoreSettings Settings = StoreFixture::settings();
  Settings.Seeds_->Bounds_.RetryRatio_ = 0.2;
  Settings.Seeds_->Bounds_.RetrySlack_ = 1;
  Settings.Seeds_->Bounds_.RetryWindow_ = seconds(1);
  StoreFixture Fixture = makeWarmFixture(milliseconds(1), std::move(Settings));
  Fixture.pass(seconds(2));
  std::uint64_t LastCall = 0;
  // Starts a window's calls, loses some first attempts and answers the others.
  // Returns the number of retries that are sent in the given time.
  const auto CountRetries = [&](Duration ConnectTime, Duration Time) {
    Fixture.ConnectTime_ = milliseconds(1);
    std::vector<SendAttempt> Lost;
    for (std::uint64_t Index = 0; Index < CallsPerWindow; ++Index)
      for (const auto &Sent : StoreFixture::actionsOf<SendAttempt>(
               Fixture.sendCall(++LastCall, "/a/x"))) {
        if (Index < LostPerWindow)
          Lost.push_back(Sent);
        else
          Fixture.deliver(makeFinalAnswer(Sent));
      }
    Fixture.ConnectTime_ = ConnectTime;
    for (const SendAttempt &Sent : Lost)
      Fixture.deliver(StoreFixture::makeReset(Sent));
    const auto Sent = StoreFixture::actionsOf<SendAttempt>(Fixture.pass(Time));
    return std::count_if(Sent.begin(), Sent.end(), [](const auto &Each) {
      return Each.AttemptMark_ > 1;
    });
  };
  // The first retries are sent less than a second before the last ones.
  const auto Early = CountRetries(milliseconds(290), milliseconds(1'000));
  const auto Late = CountRetries(milliseconds(1), milliseconds(100));
  CHECK(Early > 0);
  CHECK(static_cast<double>(Early + Late) <= 0.2 * CallsPerWindow + 1);
}
