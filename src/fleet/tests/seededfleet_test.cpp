#include "fleet/tests/seededsimulation.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using framework::Duration;
using framework::Revision;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("instances discover each other through one seed", "[seeds]") {
  SeededSimulation Fleet(6);
  Fleet.pass(seconds(1));
  for (const SeededFleet &Each : Fleet.Instances_)
    CHECK(Each.fleetSize() == 6);
}

TEST_CASE("the view is fresh as soon as the store has been read", "[seeds]") {
  SeededSimulation Fleet(1);
  CHECK(Fleet.Instances_[0].isViewFresh(Fleet.Now_.Monotonic_));
}

TEST_CASE("one instance of a peer group reads the store", "[seeds]") {
  SeededSimulation Fleet(5);
  Fleet.pass(seconds(2));
  Fleet.ReadCount_ = 0;
  Fleet.pass(seconds(10));
  // A watch without changes ends after 1 s.
  CHECK(Fleet.ReadCount_ <= 12);
  for (const SeededFleet &Each : Fleet.Instances_)
    CHECK(*Each.view().age(Fleet.Now_.Monotonic_) < seconds(2));
}

TEST_CASE("one instance of a large zone reads the store", "[seeds]") {
  SeededSimulation Fleet(40);
  Fleet.pass(seconds(3));
  Fleet.ReadCount_ = 0;
  Fleet.pass(seconds(10));
  // A watch without changes ends after 1 s.
  CHECK(Fleet.ReadCount_ <= 12);
  for (const SeededFleet &Each : Fleet.Instances_)
    CHECK(*Each.view().age(Fleet.Now_.Monotonic_) < MaxChangeDelay);
}

TEST_CASE("a change reaches a large zone without further reads", "[seeds]") {
  SeededSimulation Fleet(40);
  Fleet.pass(seconds(3));
  Fleet.ReadCount_ = 0;
  const auto Bytes = GENERATE(std::size_t{20}, std::size_t{5'000});
  Fleet.changeConfiguration(std::string(Bytes, 'x'));
  Fleet.pass(milliseconds(500));
  CHECK(Fleet.staleCount() == 0);
  CHECK(Fleet.ReadCount_ <= 2);
}

TEST_CASE("the view stays fresh while the store changes", "[seeds]") {
  SeededSimulation Fleet(143);
  Fleet.pass(seconds(4));
  Fleet.ReadCount_ = 0;
  Duration MaxAge{};
  for (int Round = 0; Round < 10; ++Round) {
    Fleet.change("c", "changed");
    for (int Step = 0; Step < 150; ++Step) {
      Fleet.pass(milliseconds(10));
      for (const SeededFleet &Each : Fleet.Instances_)
        MaxAge = std::max(MaxAge, *Each.view().age(Fleet.Now_.Monotonic_));
    }
  }
  // Group leaders read the store themselves when their view is 1.3 s old.
  CHECK(MaxAge < milliseconds(1'300));
  CHECK(Fleet.ReadCount_ <= 25);
}

TEST_CASE("a zone gets changes after its leader has become unreachable",
          "[seeds]") {
  SeededSimulation Fleet(40);
  Fleet.pass(seconds(3));
  for (std::size_t Index = 0; Index < 40; ++Index)
    if (Fleet.Watches_.contains(Index))
      Fleet.Isolated_.insert(Index);
  REQUIRE(Fleet.Isolated_.size() == 1);
  for (int Round = 0; Round < 20; ++Round) {
    Fleet.change("c", "changed");
    Fleet.pass(MaxChangeDelay);
    CHECK(Fleet.staleCount() == 0);
  }
}

TEST_CASE("a slow instance does not make old updates look fresh", "[seeds]") {
  constexpr std::size_t Instances = 20;
  for (std::size_t Slow = 0; Slow < Instances; ++Slow) {
    SeededSimulation Fleet(Instances);
    Fleet.pass(seconds(3));
    Fleet.Slow_ = {Slow};
    for (int Round = 0; Round < 3; ++Round) {
      Fleet.change("c", "first");
      Fleet.pass(milliseconds(150));
      Fleet.change("c", "second");
      Fleet.pass(MaxChangeDelay);
      for (std::size_t Index = 0; Index < Instances; ++Index)
        if (Index != Slow)
          CHECK(Fleet.Instances_[Index].view().revision() == Fleet.Revision_);
    }
  }
}

TEST_CASE("starting instances read the store once each, leaders also for "
          "their groups",
          "[seeds]") {
  SeededSimulation Fleet(40);
  Fleet.pass(seconds(1));
  CHECK(Fleet.ReadCount_ <= 50);
  CHECK(Fleet.staleCount() == 0);
}

TEST_CASE("an isolated instance reads the store itself", "[seeds]") {
  SeededSimulation Fleet(5);
  Fleet.pass(seconds(2));
  Fleet.Isolated_ = {0, 1, 2, 3, 4};
  Fleet.pass(seconds(4));
  for (const SeededFleet &Each : Fleet.Instances_)
    CHECK(*Each.view().age(Fleet.Now_.Monotonic_) < MaxChangeDelay);
}

TEST_CASE("a store that is down is read at a bounded rate", "[seeds]") {
  SeededSimulation Fleet(1);
  Fleet.pass(seconds(2));
  Fleet.IsStoreDown_ = true;
  Fleet.ReadCount_ = 0;
  Fleet.pass(seconds(10));
  CHECK(Fleet.ReadCount_ <= 60);
  Fleet.IsStoreDown_ = false;
  Fleet.pass(seconds(1));
  CHECK(*Fleet.Instances_[0].view().age(Fleet.Now_.Monotonic_) < seconds(2));
}

TEST_CASE("a share is computed from the members of the retention period",
          "[seeds]") {
  SeededSimulation Fleet(6);
  Fleet.pass(seconds(2));
  Fleet.Isolated_ = {0};
  Fleet.pass(seconds(20));
  CHECK(Fleet.Instances_[0].fleetSize() == 6);
}

TEST_CASE("a few instances share the rate of a cold target", "[seeds]") {
  SeededSimulation Fleet(8);
  Fleet.pass(seconds(2));
  const framework::TargetName Target("t1");
  double Sum = 0;
  int Senders = 0;
  for (const SeededFleet &Each : Fleet.Instances_) {
    const double Rate = Each.coldRate(Target, 9, Fleet.Now_.Monotonic_);
    Sum += Rate;
    Senders += Rate > 0 ? 1 : 0;
  }
  CHECK(Sum == Approx(9));
  CHECK(Senders == 3);
}

TEST_CASE("shares are recomputed when discovery is complete", "[seeds]") {
  SeededSimulation Fleet(8);
  Fleet.pass(milliseconds(900));
  CHECK(Fleet.outdatedRateCount() == 0);
  Fleet.pass(milliseconds(300));
  CHECK(Fleet.outdatedRateCount() == 0);
}

TEST_CASE("shares are recomputed when a member is lost or stops", "[seeds]") {
  SeededSimulation Fleet(8);
  Fleet.pass(seconds(2));
  std::size_t Sender = 0;
  while (Fleet.coldRate(Sender) == 0)
    ++Sender;
  SECTION("lost") {
    Fleet.Isolated_ = {Sender};
    Fleet.pass(seconds(8));
    Fleet.Isolated_.clear();
  }
  SECTION("stopping") {
    OutputList Output;
    Fleet.Instances_[Sender].handleStopRequest(Fleet.Now_, Output);
    Fleet.process(Sender, Output);
    Fleet.pass(seconds(2));
  }
  CHECK(Fleet.outdatedRateCount() == 0);
}

TEST_CASE("a starting instance sends little to cold targets", "[seeds]") {
  SeededSimulation Fleet(4);
  double Sum = 0;
  for (const SeededFleet &Each : Fleet.Instances_)
    Sum +=
        Each.coldRate(framework::TargetName("t1"), 100, Fleet.Now_.Monotonic_);
  CHECK(Sum <= 4);
}

TEST_CASE("one instance of a group probes a target, others in its absence",
          "[seeds]") {
  SeededSimulation Fleet(5);
  Fleet.pass(seconds(2));
  const framework::TargetName Target("t1");
  int Probers = 0;
  for (SeededFleet &Each : Fleet.Instances_) {
    Each.recordProbe(Target, Fleet.Now_.Monotonic_ - seconds(1));
    routing::LoadReport Report;
    Report.WarmupLeft_ = Duration::zero();
    Each.recordLoad(Target, Report, Fleet.Now_.Monotonic_);
    Probers += Each.mayProbe(Target, {}, Fleet.Now_.Monotonic_) ? 1 : 0;
  }
  CHECK(Probers == 1);
  Fleet.Isolated_ = {0, 1, 2, 3, 4};
  Fleet.pass(seconds(1));
  for (const SeededFleet &Each : Fleet.Instances_)
    CHECK(Each.mayProbe(Target, {}, Fleet.Now_.Monotonic_));
}

TEST_CASE("the size of a peer group is bounded in a large zone", "[seeds]") {
  Membership Members(MemberInfo{.Name_ = framework::InstanceName("e-10"),
                                .Incarnation_ = {},
                                .Zone_ = framework::ZoneName("a"),
                                .Address_ = "127.0.0.10:1"});
  GossipMessage Gossip;
  Gossip.Members_.push_back(MemberInfo{});
  for (int Number = 11; Number < 50; ++Number)
    Gossip.Members_.push_back(MemberInfo{
        .Name_ = framework::InstanceName("e-" + std::to_string(Number)),
        .Incarnation_ = {},
        .Zone_ = framework::ZoneName(Number % 2 == 0 ? "a" : "b"),
        .Address_ = "127.0.0." + std::to_string(Number) + ":1"});
  Members.merge(Gossip, framework::Instant(seconds(100)));
  PeerGroup Group;
  Group.rebuild(Members, framework::Instant(seconds(100)));
  CHECK(Group.addresses().size() < PeerGroup::MaxSize);
  CHECK(Group.addresses().size() >= 5);
}

TEST_CASE("members of a large fleet do not lose each other", "[seeds]") {
  const auto [Instances, Zones] = GENERATE(
      std::pair<int, std::vector<std::string>>{40, {"a"}},
      std::pair<int, std::vector<std::string>>{143, {"a", "b", "c", "d"}});
  SeededSimulation Fleet(Instances, Zones);
  Fleet.pass(seconds(6));
  std::size_t Lost = 0;
  for (int Second = 0; Second < 20; ++Second) {
    Fleet.pass(seconds(1));
    for (const SeededFleet &Each : Fleet.Instances_)
      Lost += static_cast<std::size_t>(Instances) - Each.runningMembers();
  }
  CHECK(Lost == 0);
}

TEST_CASE("a gossip message of a large fleet fits in a datagram", "[seeds]") {
  SeededSimulation Fleet(40);
  Fleet.pass(seconds(3));
  CHECK(Fleet.LargestMessage_ <= MaxDatagramBytes);
}

TEST_CASE("not all instances of a starting large fleet probe a target",
          "[seeds]") {
  constexpr std::size_t Instances = 40;
  SeededSimulation Fleet(Instances);
  const framework::TargetName Target("t1");
  routing::LoadReport Healthy;
  Healthy.WarmupLeft_ = Duration::zero();
  std::set<std::size_t> Probers;
  for (int Step = 0; Step < 300; ++Step) {
    Fleet.pass(milliseconds(10));
    for (std::size_t Index = 0; Index < Instances; ++Index) {
      if (!Fleet.Instances_[Index].mayProbe(Target, {}, Fleet.Now_.Monotonic_))
        continue;
      Fleet.Instances_[Index].recordProbe(Target, Fleet.Now_.Monotonic_);
      Fleet.Instances_[Index].recordLoad(Target, Healthy,
                                         Fleet.Now_.Monotonic_);
      Probers.insert(Index);
    }
  }
  // Each instance that probes opens a connection of its own. A second instance
  // may have started to probe before the discovery was complete.
  CHECK(Probers.size() <= 2);
}

TEST_CASE("a starting instance probes a target once", "[seeds]") {
  SeededSimulation Fleet(1);
  const framework::TargetName Target("t1");
  int Probes = 0;
  for (int Step = 0; Step < 90; ++Step) {
    Fleet.pass(milliseconds(10));
    if (!Fleet.Instances_[0].mayProbe(Target, {}, Fleet.Now_.Monotonic_))
      continue;
    Fleet.Instances_[0].recordProbe(Target, Fleet.Now_.Monotonic_);
    ++Probes;
  }
  CHECK(Probes == 1);
}

TEST_CASE("crash notices are taken from known instances only, and not too many "
          "at once",
          "[crash]") {
  SeededSimulation Simulation(3);
  Simulation.pass(seconds(2));
  const CrashNotice Notice{
      {1, 1}, {{framework::TargetName("t1"), Duration{}}}, std::nullopt};
  const auto Receive = [&](CrashUpdate Message) {
    OutputList Output;
    Simulation.Instances_[0].handle(Message, Simulation.Now_, Output);
    return Output;
  };
  const framework::InstanceName Known("entry-2");
  const framework::Incarnation Current(1000);
  CHECK(outputsOf<CrashNoticesReceived>(Receive({Known, Current, {Notice}}))
            .size() == 1);
  CrashNotice Oversized = Notice;
  Oversized.Crashes_.resize(4, Notice.Crashes_.front());
  for (const CrashUpdate &Each :
       {CrashUpdate{framework::InstanceName("stranger"), Current, {Notice}},
        CrashUpdate{Known, framework::Incarnation(999), {Notice}},
        CrashUpdate{Known, Current, std::vector(11, Notice)},
        CrashUpdate{Known, Current, {Oversized}}}) {
    const OutputList Output = Receive(Each);
    CHECK(outputsOf<CrashNoticesReceived>(Output).empty());
    CHECK(outputsOf<PeerMessageRejected>(Output).size() == 1);
  }
}

// Guards against figures of an instance that is gone or was never known, and
// against peers that do not agree on the order of the group.
TEST_CASE("demand is taken from known instances only", "[seeds]") {
  SeededSimulation Simulation(3);
  Simulation.pass(seconds(2));
  const auto Position =
      Simulation.Instances_[1].groupPosition(Simulation.Now_.Monotonic_);
  REQUIRE(Position);
  CHECK(Position->FleetSize_ == 3);
  CHECK(Position->FirstRank_ == 0);
  CHECK(Position->Members_.size() == 3);
  const auto Receive = [&](const char *From, std::uint64_t Incarnation) {
    OutputList Output;
    Simulation.Instances_[0].handle(
        capacity::DemandUpdate{framework::InstanceName(From),
                               framework::Incarnation(Incarnation),
                               1,
                               {{framework::ServiceName("s"), 4}}},
        Simulation.Now_, Output);
    return Output;
  };
  CHECK(outputsOf<DemandReceived>(Receive("entry-2", 1000)).size() == 1);
  for (const OutputList &Output :
       {Receive("entry-2", 999), Receive("stranger", 1000)}) {
    CHECK(outputsOf<DemandReceived>(Output).empty());
    CHECK(outputsOf<PeerMessageRejected>(Output).size() == 1);
  }
}

TEST_CASE("a full crash update fits in a datagram", "[crash]") {
  CrashNotice Largest;
  Largest.Request_ = {~std::uint64_t{0}, ~std::uint64_t{0}};
  Largest.CompletedAge_ = std::chrono::hours(1);
  Largest.Crashes_.assign(
      3, {framework::TargetName(std::string(20, 't')), std::chrono::hours(1)});
  const auto Updates = makeCrashUpdates(
      framework::InstanceName(std::string(32, 'i')),
      framework::Incarnation(~std::uint64_t{0}), std::vector(25, Largest));
  REQUIRE(Updates.size() == 3);
  for (const CrashUpdate &Each : Updates)
    CHECK(encodePeerMessage(Each).size() <= MaxDatagramBytes);
}

TEST_CASE("in an outage of the store its load does not grow with the fleet",
          "[seeds]") {
  const auto CountReads = [](int Instances) {
    SeededSimulation Fleet(Instances);
    Fleet.pass(seconds(4));
    Fleet.IsStoreDown_ = true;
    Fleet.pass(seconds(4));
    Fleet.ReadCount_ = 0;
    Fleet.pass(seconds(4));
    const int Count = Fleet.ReadCount_;
    Fleet.IsStoreDown_ = false;
    Fleet.change("c2", "document");
    Fleet.pass(MaxChangeDelay);
    CHECK(Fleet.staleCount() == 0);
    return Count;
  };
  // The platform's read rate grows more slowly than the fleet.
  CHECK(CountReads(160) <= 2 * CountReads(40));
}

TEST_CASE("a target that left before a stale first read is not used for long",
          "[seeds]") {
  SeededFleet Restarted(makeSettings(1), framework::Random(1));
  framework::Moment Now{framework::Instant(seconds(100)),
                        framework::WallTime(seconds(1'000'000))};
  OutputList Output;
  Restarted.start(Now, Output);
  const auto First = outputsOf<ReadRecords>(Output);
  REQUIRE(First.size() == 1);
  CHECK(First[0].IsStaleAllowed_);
  Output.clear();
  // The answer dates from before the target left.
  Restarted.handleAllRecords(
      {{"c", "document", framework::Revision(7), false},
       {"t0", "target a", framework::Revision(8), false}},
      framework::Revision(8), Now, Output);
  CHECK(Restarted.view().targets().size() == 1);
  std::vector<ReadRecords> Next = outputsOf<ReadRecords>(Output);
  while (Next.empty()) {
    Now.Monotonic_ += milliseconds(10);
    Now.Wall_ += milliseconds(10);
    REQUIRE(Now.Monotonic_ < framework::Instant(seconds(101)));
    Output.clear();
    Restarted.tick(Now, Output);
    Next = outputsOf<ReadRecords>(Output);
  }
  CHECK(Next[0].After_ == framework::Revision(8));
  CHECK_FALSE(Next[0].IsStaleAllowed_);
  Output.clear();
  Restarted.handleChangedRecords({{"t0", "", framework::Revision(9), true}},
                                 framework::Revision(9), Now, Output);
  CHECK(Restarted.view().targets().empty());
}
