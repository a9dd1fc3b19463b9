#include "fleet/tests/seededworld.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using framework::Duration;
using framework::Instant;
using framework::TargetName;

namespace {

constexpr int Targets = 6;
const std::vector<std::string> Zones = {"a", "b", "c"};

/// What all instances together know of the targets while they probe whenever
/// they may; a probe is answered at once.
struct ProbingWorld : World {
  std::size_t Probes_ = 0;
  std::size_t ProbesAbroad_ = 0;
  /// By instance and target.
  std::map<std::pair<std::size_t, std::string>, Instant> SeenAt_;
  std::map<std::pair<std::size_t, std::string>, Instant> OwnProbeAt_;

  explicit ProbingWorld(int Count) : World(Count, Zones, Targets) {}

  std::string zoneOfTarget(int Target) const {
    return Zones[static_cast<std::size_t>(Target) % Zones.size()];
  }

  void probe(std::size_t From, int Target) {
    const TargetName Name("t" + std::to_string(Target));
    SeededFleet &Own = Fleets_[From];
    if (!Own.mayProbe(Name, Now_.Monotonic_))
      return;
    Own.recordProbe(Name, Now_.Monotonic_);
    routing::LoadReport Report;
    Report.WarmupLeft_ = Duration::zero();
    Own.recordLoad(Name, Report, Now_.Monotonic_);
    SeenAt_[{From, Name.value()}] = Now_.Monotonic_;
    OwnProbeAt_[{From, Name.value()}] = Now_.Monotonic_;
    ++Probes_;
    const std::string &Zone = Zones[(From + 1) % Zones.size()];
    ProbesAbroad_ += Zone != zoneOfTarget(Target) ? 1U : 0U;
  }

  void passProbing(Duration Time) {
    const Instant End = Now_.Monotonic_ + Time;
    while (Now_.Monotonic_ < End) {
      pass(milliseconds(10));
      for (const auto &[From, Load] : Heard_)
        SeenAt_[{From, Load.Target_.value()}] = Load.SeenAt_;
      Heard_.clear();
      for (std::size_t From = 0; From < Fleets_.size(); ++From)
        for (int Target = 0; Target < Targets; ++Target)
          probe(From, Target);
    }
  }

  /// Among the instances that hear others.
  Duration oldestKnowledgeOf(int Target) {
    const std::string Name = "t" + std::to_string(Target);
    Duration Oldest{};
    for (std::size_t From = 0; From < Fleets_.size(); ++From)
      if (!Deaf_.contains(From))
        Oldest = std::max(Oldest, Now_.Monotonic_ - SeenAt_[{From, Name}]);
    return Oldest;
  }

  Duration oldestKnowledge() {
    Duration Oldest{};
    for (int Target = 0; Target < Targets; ++Target)
      Oldest = std::max(Oldest, oldestKnowledgeOf(Target));
    return Oldest;
  }
};

} // namespace

TEST_CASE("zones tell each other how their targets are", "[seeds]") {
  const int Instances = GENERATE(12, 45);
  ProbingWorld Fleet(Instances);
  Fleet.passProbing(seconds(3));
  Fleet.ProbesAbroad_ = 0;
  for (int Step = 0; Step < 20; ++Step) {
    Fleet.passProbing(milliseconds(100));
    CHECK(Fleet.oldestKnowledge() < milliseconds(500));
  }
  CHECK(Fleet.ProbesAbroad_ == 0);
}

TEST_CASE("one instance of a zone probes a target and tells all groups",
          "[seeds]") {
  ProbingWorld Fleet(60);
  Fleet.passProbing(seconds(3));
  Fleet.Probes_ = 0;
  Fleet.passProbing(seconds(2));
  // At most every 90 ms.
  CHECK(Fleet.Probes_ <= static_cast<std::size_t>(Targets) * 23);
  CHECK(Fleet.oldestKnowledge() < milliseconds(500));
}

TEST_CASE("a target is probed on when its prober is gone", "[seeds]") {
  ProbingWorld Fleet(60);
  Fleet.passProbing(seconds(3));
  std::set<std::size_t> Probers;
  for (const auto &[Place, At] : Fleet.OwnProbeAt_)
    if (Place.second == "t0" && Fleet.Now_.Monotonic_ - At < milliseconds(200))
      Probers.insert(Place.first);
  REQUIRE(Probers.size() == 1);
  Fleet.Deaf_ = Probers;
  for (int Step = 0; Step < 20; ++Step) {
    Fleet.passProbing(milliseconds(500));
    CHECK(Fleet.oldestKnowledgeOf(0) < milliseconds(1'500));
  }
}

TEST_CASE("a zone that is told nothing probes the targets of others",
          "[seeds]") {
  ProbingWorld Fleet(12);
  Fleet.passProbing(seconds(3));
  // All instances of the zone `a`.
  Fleet.Deaf_ = {2, 5, 8, 11};
  Fleet.ProbesAbroad_ = 0;
  Fleet.passProbing(seconds(4));
  CHECK(Fleet.ProbesAbroad_ > 0);
  CHECK(Fleet.SeenAt_[{2, "t1"}] > Fleet.Now_.Monotonic_ - seconds(2));
}
