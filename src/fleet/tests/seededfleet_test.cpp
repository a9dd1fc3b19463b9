#include "fleet/tests/seededworld.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using framework::Duration;
using framework::Revision;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("instances find each other by one seed", "[seeds]") {
  World Fleet(6);
  Fleet.pass(seconds(1));
  for (const SeededFleet &Each : Fleet.Fleets_)
    CHECK(Each.fleetSize() == 6);
}

TEST_CASE("an instance serves as soon as it has read the store", "[seeds]") {
  World Fleet(1);
  CHECK(Fleet.Fleets_[0].isViewFresh(Fleet.Now_.Monotonic_));
}

TEST_CASE("one of a group of neighbours reads the store", "[seeds]") {
  World Fleet(5);
  Fleet.pass(seconds(2));
  Fleet.Reads_ = 0;
  Fleet.pass(seconds(10));
  // A watch waits for a second.
  CHECK(Fleet.Reads_ <= 12);
  for (const SeededFleet &Each : Fleet.Fleets_)
    CHECK(*Each.view().age(Fleet.Now_.Monotonic_) < seconds(2));
}

TEST_CASE("one instance of a large zone reads the store", "[seeds]") {
  World Fleet(40);
  Fleet.pass(seconds(3));
  Fleet.Reads_ = 0;
  Fleet.pass(seconds(10));
  // A watch waits for a second.
  CHECK(Fleet.Reads_ <= 12);
  for (const SeededFleet &Each : Fleet.Fleets_)
    CHECK(*Each.view().age(Fleet.Now_.Monotonic_) < ChangeInForce);
}

TEST_CASE("a change reaches a large zone without further reads", "[seeds]") {
  World Fleet(40);
  Fleet.pass(seconds(3));
  Fleet.Reads_ = 0;
  const auto Bytes = GENERATE(std::size_t{20}, std::size_t{5'000});
  Fleet.change("c", std::string(Bytes, 'x'));
  Fleet.pass(milliseconds(500));
  CHECK(Fleet.behind() == 0);
  CHECK(Fleet.Reads_ <= 2);
}

TEST_CASE("the view stays young while the store changes", "[seeds]") {
  World Fleet(143);
  Fleet.pass(seconds(4));
  Fleet.Reads_ = 0;
  Duration Oldest{};
  for (int Round = 0; Round < 10; ++Round) {
    Fleet.change("c", "changed");
    for (int Step = 0; Step < 150; ++Step) {
      Fleet.pass(milliseconds(10));
      for (const SeededFleet &Each : Fleet.Fleets_)
        Oldest = std::max(Oldest, *Each.view().age(Fleet.Now_.Monotonic_));
    }
  }
  // Those who tell a group ask the store themselves after 1.3 s.
  CHECK(Oldest < milliseconds(1'300));
  CHECK(Fleet.Reads_ <= 25);
}

TEST_CASE("a zone goes on when its reader of the store is gone", "[seeds]") {
  World Fleet(40);
  Fleet.pass(seconds(3));
  for (std::size_t At = 0; At < 40; ++At)
    if (Fleet.Waiting_.contains(At))
      Fleet.Deaf_.insert(At);
  REQUIRE(Fleet.Deaf_.size() == 1);
  for (int Round = 0; Round < 20; ++Round) {
    Fleet.change("c", "changed");
    Fleet.pass(ChangeInForce);
    CHECK(Fleet.behind() == 0);
  }
}

TEST_CASE("a slow instance does not make old words look young", "[seeds]") {
  constexpr std::size_t Instances = 20;
  for (std::size_t Slow = 0; Slow < Instances; ++Slow) {
    World Fleet(Instances);
    Fleet.pass(seconds(3));
    Fleet.Slow_ = {Slow};
    for (int Round = 0; Round < 3; ++Round) {
      Fleet.change("c", "first");
      Fleet.pass(milliseconds(150));
      Fleet.change("c", "second");
      Fleet.pass(ChangeInForce);
      for (std::size_t At = 0; At < Instances; ++At)
        if (At != Slow)
          CHECK(Fleet.Fleets_[At].view().revision() == Fleet.Stored_);
    }
  }
}

TEST_CASE("instances that start together ask the store once each, and those "
          "that read for others",
          "[seeds]") {
  World Fleet(40);
  Fleet.pass(seconds(1));
  CHECK(Fleet.Reads_ <= 50);
  CHECK(Fleet.behind() == 0);
}

TEST_CASE("an instance that hears nobody reads the store itself", "[seeds]") {
  World Fleet(5);
  Fleet.pass(seconds(2));
  Fleet.Deaf_ = {0, 1, 2, 3, 4};
  Fleet.pass(seconds(4));
  for (const SeededFleet &Each : Fleet.Fleets_)
    CHECK(*Each.view().age(Fleet.Now_.Monotonic_) < ChangeInForce);
}

TEST_CASE("a store that is down is asked at a bounded pace", "[seeds]") {
  World Fleet(1);
  Fleet.pass(seconds(2));
  Fleet.IsStoreDown_ = true;
  Fleet.Reads_ = 0;
  Fleet.pass(seconds(10));
  CHECK(Fleet.Reads_ <= 60);
  Fleet.IsStoreDown_ = false;
  Fleet.pass(seconds(1));
  CHECK(*Fleet.Fleets_[0].view().age(Fleet.Now_.Monotonic_) < seconds(2));
}

TEST_CASE("a share follows the most members of the last while", "[seeds]") {
  World Fleet(6);
  Fleet.pass(seconds(2));
  Fleet.Deaf_ = {0};
  Fleet.pass(seconds(20));
  CHECK(Fleet.Fleets_[0].fleetSize() == 6);
}

TEST_CASE("a cold target has few senders, who share its rate", "[seeds]") {
  World Fleet(8);
  Fleet.pass(seconds(2));
  const framework::TargetName Target("t1");
  double Sum = 0;
  int Senders = 0;
  for (const SeededFleet &Each : Fleet.Fleets_) {
    const double Rate = Each.coldRate(Target, 9, Fleet.Now_.Monotonic_);
    Sum += Rate;
    Senders += Rate > 0 ? 1 : 0;
  }
  CHECK(Sum == Approx(9));
  CHECK(Senders == 3);
}

TEST_CASE("shares are computed anew when an instance has settled", "[seeds]") {
  World Fleet(8);
  Fleet.pass(milliseconds(900));
  CHECK(Fleet.outdatedRates() == 0);
  Fleet.pass(milliseconds(300));
  CHECK(Fleet.outdatedRates() == 0);
}

TEST_CASE("shares are computed anew when a member is lost or stops",
          "[seeds]") {
  World Fleet(8);
  Fleet.pass(seconds(2));
  std::size_t Sender = 0;
  while (Fleet.coldRate(Sender) == 0)
    ++Sender;
  SECTION("lost") {
    Fleet.Deaf_ = {Sender};
    Fleet.pass(seconds(8));
    Fleet.Deaf_.clear();
  }
  SECTION("stopping") {
    OutputList Output;
    Fleet.Fleets_[Sender].handleStopRequest(Fleet.Now_, Output);
    Fleet.carryOut(Sender, Output);
    Fleet.pass(seconds(2));
  }
  CHECK(Fleet.outdatedRates() == 0);
}

TEST_CASE("an instance that has just started sends little to cold targets",
          "[seeds]") {
  World Fleet(4);
  double Sum = 0;
  for (const SeededFleet &Each : Fleet.Fleets_)
    Sum +=
        Each.coldRate(framework::TargetName("t1"), 100, Fleet.Now_.Monotonic_);
  CHECK(Sum <= 4);
}

TEST_CASE("a target is probed by one of a group, and by others in its absence",
          "[seeds]") {
  World Fleet(5);
  Fleet.pass(seconds(2));
  const framework::TargetName Target("t1");
  int Probers = 0;
  for (SeededFleet &Each : Fleet.Fleets_) {
    Each.recordProbe(Target, Fleet.Now_.Monotonic_ - seconds(1));
    routing::LoadReport Report;
    Report.WarmupLeft_ = Duration::zero();
    Each.recordLoad(Target, Report, Fleet.Now_.Monotonic_);
    Probers += Each.mayProbe(Target, Fleet.Now_.Monotonic_) ? 1 : 0;
  }
  CHECK(Probers == 1);
  Fleet.Deaf_ = {0, 1, 2, 3, 4};
  Fleet.pass(seconds(1));
  for (const SeededFleet &Each : Fleet.Fleets_)
    CHECK(Each.mayProbe(Target, Fleet.Now_.Monotonic_));
}

TEST_CASE("a group of neighbours is bounded in a large zone", "[seeds]") {
  Members Known(KnownMember{.Name_ = framework::InstanceName("e-10"),
                            .Incarnation_ = {},
                            .Zone_ = framework::ZoneName("a"),
                            .Address_ = "127.0.0.10:1"});
  Greeting Heard;
  Heard.Members_.push_back(KnownMember{});
  for (int Number = 11; Number < 50; ++Number)
    Heard.Members_.push_back(KnownMember{
        .Name_ = framework::InstanceName("e-" + std::to_string(Number)),
        .Incarnation_ = {},
        .Zone_ = framework::ZoneName(Number % 2 == 0 ? "a" : "b"),
        .Address_ = "127.0.0." + std::to_string(Number) + ":1"});
  Known.note(Heard, framework::Instant(seconds(100)));
  Neighbours Group;
  Group.form(Known, framework::Instant(seconds(100)));
  CHECK(Group.addresses().size() < Neighbours::MaxSize);
  CHECK(Group.addresses().size() >= 5);
}

TEST_CASE("members of a large fleet stay known to each other", "[seeds]") {
  const auto [Instances, Zones] = GENERATE(
      std::pair<int, std::vector<std::string>>{40, {"a"}},
      std::pair<int, std::vector<std::string>>{143, {"a", "b", "c", "d"}});
  World Fleet(Instances, Zones);
  Fleet.pass(seconds(6));
  std::size_t Lost = 0;
  for (int Second = 0; Second < 20; ++Second) {
    Fleet.pass(seconds(1));
    for (const SeededFleet &Each : Fleet.Fleets_)
      Lost += static_cast<std::size_t>(Instances) - Each.runningMembers();
  }
  CHECK(Lost == 0);
}

TEST_CASE("a greeting of many members fits in a datagram", "[seeds]") {
  World Fleet(40);
  Fleet.pass(seconds(3));
  CHECK(Fleet.LargestMessage_ <= MaxDatagramBytes);
}

TEST_CASE("a large fleet that starts is not probed by all of its instances",
          "[seeds]") {
  constexpr std::size_t Instances = 40;
  World Fleet(Instances);
  const framework::TargetName Target("t1");
  routing::LoadReport Healthy;
  Healthy.WarmupLeft_ = Duration::zero();
  std::set<std::size_t> Probers;
  for (int Step = 0; Step < 300; ++Step) {
    Fleet.pass(milliseconds(10));
    for (std::size_t At = 0; At < Instances; ++At) {
      if (!Fleet.Fleets_[At].mayProbe(Target, Fleet.Now_.Monotonic_))
        continue;
      Fleet.Fleets_[At].recordProbe(Target, Fleet.Now_.Monotonic_);
      Fleet.Fleets_[At].recordLoad(Target, Healthy, Fleet.Now_.Monotonic_);
      Probers.insert(At);
    }
  }
  // Each probes over a connection of its own; a second one may have started
  // while the zone's instances found each other.
  CHECK(Probers.size() <= 2);
}

TEST_CASE("an instance that has just started probes a target once", "[seeds]") {
  World Fleet(1);
  const framework::TargetName Target("t1");
  int Probes = 0;
  for (int Step = 0; Step < 90; ++Step) {
    Fleet.pass(milliseconds(10));
    if (!Fleet.Fleets_[0].mayProbe(Target, Fleet.Now_.Monotonic_))
      continue;
    Fleet.Fleets_[0].recordProbe(Target, Fleet.Now_.Monotonic_);
    ++Probes;
  }
  CHECK(Probes == 1);
}
