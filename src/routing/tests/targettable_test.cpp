#include "routing/policies/blendpolicy.h"
#include "routing/policies/randompolicy.h"
#include "routing/targettable.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

using namespace cranberryspool;
using namespace cranberryspool::framework;
using namespace cranberryspool::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration Warmup = seconds(5);

Instant at(Duration Time) { return Instant(seconds(100)) + Time; }

std::vector<TargetDescription> describe(std::uint32_t Count,
                                        std::uint32_t Slots = 4) {
  std::vector<TargetDescription> Targets;
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    Targets.push_back(
        {TargetId(Index), ServiceId(0), ZoneId(Index % 3), Slots, false});
  return Targets;
}

/// A table of warm targets of one service.
template <typename Policy> struct WarmTable {
  TargetTable<Policy> Table_;
  std::vector<TargetDescription> Targets_;

  WarmTable(Policy Chooser, std::uint32_t Count, std::uint64_t Seed = 7)
      : Table_(ZoneId(0), Chooser, Random(Seed)), Targets_(describe(Count)) {
    Table_.setTargets(Targets_, at({}));
    for (const auto &Target : Targets_) {
      Table_.setLimits(Target.Target_, {0, 10, Warmup, 0});
      Table_.recordReport(Target.Target_, {0, 0, 4, false, false}, at({}));
    }
    Table_.takeChanges();
  }

  std::vector<int> countSelections(int Count, Instant Now) {
    std::vector<int> Selections(Targets_.size());
    for (int Index = 0; Index < Count; ++Index)
      if (const auto Target = Table_.choose({ServiceId(0)}, Now))
        ++Selections[Target->value()];
    return Selections;
  }

  void endAttempt(TargetId Target, AttemptResult Result, Instant Now) {
    Table_.recordSent(Target, Now);
    Table_.recordEnded(Target, Result, milliseconds(5), Now + milliseconds(5));
  }
};

} // namespace

TEST_CASE("a leaving or unlisted target is not selected", "[routing]") {
  WarmTable Fixture(RandomPolicy{}, 3);
  Fixture.Targets_[1].IsLeaving_ = true;
  Fixture.Targets_.pop_back();
  Fixture.Table_.setTargets(Fixture.Targets_, at(seconds(1)));
  Fixture.Targets_.resize(3);
  const auto Selections = Fixture.countSelections(200, at(seconds(1)));
  CHECK(Selections == std::vector<int>{200, 0, 0});
}

TEST_CASE("a target that returns counts as cold until it is known to be warm",
          "[routing]") {
  WarmTable Fixture(RandomPolicy{}, 2);
  Fixture.Targets_[1].IsLeaving_ = true;
  Fixture.Table_.setTargets(Fixture.Targets_, at(seconds(1)));
  CHECK(Fixture.Table_.takeChanges() ==
        std::vector<TargetChange>{{TargetId(1), TargetChangeKind::TurnedCold}});
  Fixture.Table_.recordReport(TargetId(1), {}, at(seconds(2)));
  Fixture.Table_.markWarm(TargetId(1), at(seconds(2)));
  Fixture.Targets_[1].IsLeaving_ = false;
  Fixture.Table_.setTargets(Fixture.Targets_, at(seconds(9)));
  CHECK(Fixture.countSelections(100, at(seconds(9)))[1] == 0);
  SECTION("another instance reports it as warm") {
    Fixture.Table_.markWarm(TargetId(1), at(seconds(10)));
    CHECK(Fixture.countSelections(100, at(seconds(10)))[1] > 0);
  }
  SECTION("the target reports that it is warm") {
    Fixture.Table_.recordReport(TargetId(1), {}, at(seconds(10)));
    CHECK(Fixture.countSelections(100, at(seconds(10)))[1] > 0);
  }
  SECTION("a cold start detected while it was leaving continues") {
    Fixture.Targets_[1].IsLeaving_ = true;
    Fixture.Table_.setTargets(Fixture.Targets_, at(seconds(10)));
    Fixture.Table_.markCold(TargetId(1), at(seconds(11)));
    Fixture.Targets_[1].IsLeaving_ = false;
    Fixture.Table_.setTargets(Fixture.Targets_, at(seconds(12)));
    Fixture.Table_.recordReport(TargetId(1), {}, at(seconds(13)));
    CHECK(Fixture.countSelections(100, at(seconds(13)))[1] == 0);
    CHECK(Fixture.countSelections(100, at(seconds(11) + Warmup))[1] > 0);
  }
  SECTION("a cold start that ended while it was leaving is not trusted") {
    Fixture.Table_.markCold(TargetId(1), at(seconds(10)));
    Fixture.Targets_[1].IsLeaving_ = true;
    Fixture.Table_.setTargets(Fixture.Targets_, at(seconds(10)));
    Fixture.Table_.advance(at(seconds(30)));
    Fixture.Targets_[1].IsLeaving_ = false;
    Fixture.Table_.setTargets(Fixture.Targets_, at(seconds(31)));
    CHECK(Fixture.countSelections(100, at(seconds(31)))[1] == 0);
    CHECK(Fixture.countSelections(100, at(seconds(31) + Warmup))[1] > 0);
  }
}

TEST_CASE("a draining target is not selected until it reports otherwise",
          "[routing]") {
  WarmTable Fixture(RandomPolicy{}, 2);
  Fixture.Table_.recordReport(TargetId(0), {0, 0, 4, false, true}, at({}));
  CHECK(Fixture.countSelections(50, at({}))[0] == 0);
  Fixture.Table_.recordReport(TargetId(0), {0, 0, 4, false, false},
                              at(milliseconds(1)));
  CHECK(Fixture.countSelections(50, at(milliseconds(1)))[0] > 0);
}

TEST_CASE("a target of unknown or cold state stays within its cold limit",
          "[routing]") {
  TargetTable<RandomPolicy> Table(ZoneId(0), {}, Random(1));
  Table.setTargets(describe(1), at({}));
  const SelectionRequest Request{ServiceId(0)};
  CHECK_FALSE(Table.choose(Request, at({})));
  Table.setLimits(TargetId(0), {1, 10, Warmup, 0});
  REQUIRE(Table.choose(Request, at({})));
  Table.recordSent(TargetId(0), at({}));
  CHECK_FALSE(Table.choose(Request, at({})));
  Table.recordReport(TargetId(0), {1, 0, 4, false, false}, at(milliseconds(1)));
  CHECK(Table.choose(Request, at(milliseconds(1))));

  SECTION("a new start id makes it cold at once, despite outdated reports") {
    CHECK_FALSE(
        Table.recordStartId(TargetId(0), Incarnation(5), at(seconds(1))));
    CHECK(Table.recordStartId(TargetId(0), Incarnation(6), at(seconds(1))));
    CHECK_FALSE(
        Table.recordStartId(TargetId(0), Incarnation(5), at(seconds(1))));
    Table.recordReport(TargetId(0), {1, 0, 4, false, false}, at(seconds(2)));
    CHECK_FALSE(Table.choose(Request, at(seconds(2))));
    CHECK(Table.choose(Request, at(seconds(1) + Warmup)));
  }
  SECTION("a target that reports itself cold stays so beyond its warm-up") {
    Table.markCold(TargetId(0), at(seconds(1)));
    Table.recordReport(TargetId(0), {1, 0, 4, true, false}, at(seconds(5)));
    CHECK_FALSE(Table.choose(Request, at(seconds(1) + Warmup)));
    CHECK(Table.isCold(TargetId(0)));
  }
  SECTION("an outdated report of another instance does not end a cold start") {
    Table.markCold(TargetId(0), at(seconds(1)));
    Table.markWarm(TargetId(0), at(seconds(2)));
    CHECK(Table.isCold(TargetId(0)));
  }
  SECTION("a step increase of the response time makes it cold") {
    for (int Index = 0; Index < 50; ++Index) {
      Table.recordSent(TargetId(0), at({}));
      Table.recordEnded(TargetId(0), AttemptResult::Answered, milliseconds(5),
                        at(milliseconds(5)));
    }
    CHECK_FALSE(Table.isCold(TargetId(0)));
    for (int Index = 0; Index < 6; ++Index) {
      Table.recordSent(TargetId(0), at({}));
      Table.recordEnded(TargetId(0), AttemptResult::Answered, milliseconds(90),
                        at(milliseconds(90)));
    }
    CHECK(Table.isCold(TargetId(0)));
  }
}

TEST_CASE("targets that follow an empty list are unknown, not new",
          "[routing]") {
  TargetTable<RandomPolicy> Table(ZoneId(0), {}, Random(1));
  Table.setTargets({}, at({}));
  Table.setTargets(describe(1), at(seconds(1)));
  Table.setLimits(TargetId(0), {0, 10, Warmup, 0});
  CHECK_FALSE(Table.choose({ServiceId(0)}, at(seconds(1))));
  Table.markWarm(TargetId(0), at(seconds(1)));
  CHECK_FALSE(Table.isCold(TargetId(0)));
  CHECK(Table.choose({ServiceId(0)}, at(seconds(1))));
}

TEST_CASE("an unanswered attempt at a cold target counts as in flight for a "
          "while",
          "[routing]") {
  const auto Result = GENERATE(
      AttemptResult::Cancelled, AttemptResult::TimedOut,
      AttemptResult::ConnectionSilent, AttemptResult::ConnectionFailed);
  TargetTable<RandomPolicy> Table(ZoneId(0), {}, Random(1));
  const SelectionRequest Request{ServiceId(0)};
  Table.setTargets(describe(1), at({}));
  Table.setLimits(TargetId(0), {1, 10, Warmup, 0});
  Table.recordSent(TargetId(0), at({}));
  Table.recordEnded(TargetId(0), Result, milliseconds(20),
                    at(milliseconds(20)));
  CHECK_FALSE(Table.choose(Request, at(milliseconds(1900))));
  CHECK(Table.nextWakeUp() < at(seconds(3)));
  CHECK(Table.choose(Request, at(seconds(3))));

  Table.recordSent(TargetId(0), at(seconds(3)));
  Table.recordEnded(TargetId(0), AttemptResult::Answered, milliseconds(20),
                    at(seconds(3)));
  CHECK(Table.choose(Request, at(seconds(3))));
}

TEST_CASE("a target that fails fast is ejected and returns gradually",
          "[routing]") {
  WarmTable Fixture(RandomPolicy{}, 6);
  for (int Index = 0; Index < 3; ++Index)
    Fixture.endAttempt(TargetId(2), AttemptResult::ServerError, at({}));
  CHECK(Fixture.countSelections(300, at(milliseconds(6)))[2] == 0);
  CHECK(Fixture.Table_.takeChanges() ==
        std::vector<TargetChange>{{TargetId(2), TargetChangeKind::Ejected}});

  const Instant RestoredAt = Fixture.Table_.nextWakeUp();
  REQUIRE(RestoredAt < at(seconds(1)));
  CHECK(Fixture.countSelections(300, RestoredAt)[2] > 0);
  Fixture.Table_.recordSent(TargetId(2), RestoredAt);
  CHECK(Fixture.countSelections(300, RestoredAt)[2] == 0);

  SECTION("a success raises its limit") {
    Fixture.Table_.recordEnded(TargetId(2), AttemptResult::Answered,
                               milliseconds(5), RestoredAt);
    Fixture.Table_.recordSent(TargetId(2), RestoredAt);
    CHECK(Fixture.countSelections(300, RestoredAt)[2] > 0);
  }
  SECTION("one more failure ejects it for longer") {
    Fixture.Table_.recordEnded(TargetId(2), AttemptResult::ServerError,
                               milliseconds(5), RestoredAt);
    CHECK(Fixture.Table_.nextWakeUp() - RestoredAt > RestoredAt - at({}));
  }
}

TEST_CASE("the fraction of ejected targets is limited", "[routing]") {
  const auto Count = GENERATE(1U, 2U, 6U);
  WarmTable Fixture(RandomPolicy{}, Count);
  for (std::uint32_t Target = 0; Target < Count; ++Target)
    for (int Index = 0; Index < 9; ++Index)
      Fixture.endAttempt(TargetId(Target), AttemptResult::ConnectionFailed,
                         at({}));
  const auto Selections = Fixture.countSelections(300, at(milliseconds(6)));
  const auto Ejected = std::count(Selections.begin(), Selections.end(), 0);
  CHECK(Ejected == (Count == 1 ? 0 : Count == 2 ? 1 : 2));
}

TEST_CASE("a shedding target is backed off; silent and cancelled attempts are "
          "not held against it",
          "[routing]") {
  WarmTable Fixture(RandomPolicy{}, 3);
  Fixture.endAttempt(TargetId(0), AttemptResult::NotRun, at({}));
  for (int Index = 0; Index < 20; ++Index) {
    Fixture.endAttempt(TargetId(1), AttemptResult::ConnectionSilent, at({}));
    Fixture.endAttempt(TargetId(1), AttemptResult::Cancelled, at({}));
  }
  const auto Selections = Fixture.countSelections(200, at(milliseconds(6)));
  CHECK(Selections[0] == 0);
  CHECK(Selections[1] > 0);
  CHECK(Fixture.countSelections(200, at(milliseconds(11)))[0] > 0);
}

TEST_CASE("a call is not sent to a target that it has used", "[routing]") {
  WarmTable Fixture(BlendPolicy(BlendSettings{}), 3);
  const SelectionRequest Request{
      ServiceId(0), document::Urgency::Urgent, {TargetId(0), TargetId(2)}};
  for (int Index = 0; Index < 50; ++Index)
    CHECK(Fixture.Table_.choose(Request, at({})) == TargetId(1));
  const SelectionRequest AllExcluded{ServiceId(0),
                                     document::Urgency::Urgent,
                                     {TargetId(0), TargetId(1), TargetId(2)}};
  CHECK_FALSE(Fixture.Table_.choose(AllExcluded, at({})));
}

TEST_CASE("the blend policy prefers its zone until the zone is loaded",
          "[routing]") {
  WarmTable Fixture(BlendPolicy(BlendSettings{8}), 3);
  CHECK(Fixture.countSelections(100, at(milliseconds(1)))[0] > 90);
  Fixture.Table_.recordReport(TargetId(0), {4, 9, 4, false, false},
                              at(milliseconds(1)));
  for (int Index = 0; Index < 30; ++Index)
    Fixture.endAttempt(TargetId(1), AttemptResult::Answered, at({}));
  CHECK(Fixture.countSelections(100, at(milliseconds(6)))[0] == 0);
}

TEST_CASE("targets without a recent report are candidates for probes",
          "[routing]") {
  WarmTable Fixture(RandomPolicy{}, 3);
  std::vector<TargetId> Found;
  Fixture.Table_.nextProbeCandidates(2, at(milliseconds(10)), Found);
  CHECK(Found.empty());
  Fixture.Table_.recordReport(TargetId(0), {}, at(seconds(3)));
  Fixture.Table_.nextProbeCandidates(5, at(seconds(3)), Found);
  CHECK(Found == std::vector<TargetId>{TargetId(1), TargetId(2)});
}

TEST_CASE("the same events give the same selections", "[routing]") {
  const auto Run = [] {
    WarmTable Fixture(BlendPolicy(BlendSettings{}), 9, 42);
    std::vector<TargetId> Selections;
    for (int Index = 0; Index < 100; ++Index) {
      const auto Target =
          Fixture.Table_.choose({ServiceId(0)}, at(milliseconds(Index)));
      REQUIRE(Target);
      Selections.push_back(*Target);
      Fixture.endAttempt(*Target, AttemptResult::Answered,
                         at(milliseconds(Index)));
    }
    return Selections;
  };
  CHECK(Run() == Run());
}
