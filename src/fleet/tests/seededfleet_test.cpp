#include "fleet/internal/seeded/seededfleet.h"
#include "fleet/peercodec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <utility>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using framework::Duration;
using framework::Revision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The platform wants changes in force within this time.
constexpr Duration ChangeInForce = seconds(2);

PublishedItem decode(const std::string &, const std::string &Value) {
  if (Value != "document")
    return UnreadableRecord{"unknown value"};
  PublishedConfiguration Item;
  Item.Version_ = 3;
  Item.Document_ = std::make_shared<document::EnvironmentDocument>();
  return Item;
}

FleetSettings settingsOf(int Number, const char *Zone = "a") {
  FleetSettings Settings;
  Settings.Self_ = framework::InstanceName("entry-" + std::to_string(Number));
  Settings.Incarnation_ = framework::Incarnation(1000);
  Settings.Zone_ = framework::ZoneName(Zone);
  Settings.Address_ = "127.0.0." + std::to_string(Number) + ":7000";
  Settings.Seeds_ = SeedSettings{
      .Addresses_ = {"127.0.0.1:7000"}, .Decode_ = decode, .Bounds_ = {}};
  return Settings;
}

template <typename Kind> std::vector<Kind> only(const OutputList &Output) {
  std::vector<Kind> Found;
  for (const fleet::Output &Each : Output)
    if (const auto *Match = std::get_if<Kind>(&Each))
      Found.push_back(*Match);
  return Found;
}

/// Several instances that hear each other at once, and a store.
struct World {
  std::vector<SeededFleet> Fleets_;
  framework::Moment Now_{framework::Instant(seconds(100)),
                         framework::WallTime(seconds(1'000'000))};
  bool IsStoreDown_ = false;
  Revision Stored_{10};
  std::vector<StoredRecord> Changes_;
  int Reads_ = 0;
  std::size_t LargestMessage_ = 0;
  /// Instances that neither hear nor are heard.
  std::set<std::size_t> Deaf_;

  explicit World(int Count, const char *Zone = "a") {
    for (int Number = 1; Number <= Count; ++Number)
      Fleets_.emplace_back(settingsOf(Number, Zone),
                           framework::Random(static_cast<unsigned>(Number)));
    for (std::size_t At = 0; At < Fleets_.size(); ++At) {
      OutputList Output;
      Fleets_[At].start(Now_, Output);
      carryOut(At, Output);
    }
  }

  void carryOut(std::size_t From, const OutputList &Output) {
    if (!only<SharesChanged>(Output).empty())
      AppliedRates_[From] = coldRate(From);
    for (const SendMessage &Each : only<SendMessage>(Output))
      deliver(From, Each);
    for (const ReadRecords &Each : only<ReadRecords>(Output))
      answer(From, Each);
  }

  double coldRate(std::size_t Of) const {
    return Fleets_[Of].coldRate(framework::TargetName("t1"), 9,
                                Now_.Monotonic_);
  }

  /// Instances whose rate at a cold target differs from the one that they
  /// computed when they were last told of a change.
  std::size_t outdatedRates() {
    std::size_t Count = 0;
    for (std::size_t At = 0; At < Fleets_.size(); ++At)
      Count += AppliedRates_[At] != coldRate(At) ? 1U : 0U;
    return Count;
  }

  void deliver(std::size_t From, const SendMessage &Message) {
    LargestMessage_ =
        std::max(LargestMessage_, encodePeerMessage(Message.Message_).size());
    for (std::size_t To = 0; To < Fleets_.size(); ++To) {
      if (settingsOf(static_cast<int>(To) + 1).Address_ !=
              Message.PeerAddress_ ||
          Deaf_.contains(To) || Deaf_.contains(From))
        continue;
      OutputList Output;
      std::visit(
          [&](const auto &Kind) {
            if constexpr (requires { Fleets_[To].handle(Kind, Now_, Output); })
              Fleets_[To].handle(Kind, Now_, Output);
          },
          Message.Message_);
      carryOut(To, Output);
    }
  }

  void answer(std::size_t From, const ReadRecords &Order) {
    ++Reads_;
    OutputList Output;
    if (IsStoreDown_)
      Fleets_[From].noteRecordsUnavailable(Now_, Output);
    else if (!Order.After_)
      Fleets_[From].noteAllRecords({{"c", "document", Revision(9), false}},
                                   Stored_, Now_, Output);
    else if (Order.Wait_ > Duration::zero() && *Order.After_ == Stored_)
      Waiting_[From] = Now_.Monotonic_ + Order.Wait_;
    else
      Fleets_[From].noteChangedRecords(changesAfter(*Order.After_), Stored_,
                                       Now_, Output);
    carryOut(From, Output);
  }

  std::vector<StoredRecord> changesAfter(Revision Known) const {
    std::vector<StoredRecord> Found;
    for (const StoredRecord &Each : Changes_)
      if (Each.Revision_ > Known)
        Found.push_back(Each);
    return Found;
  }

  /// Changes an entry of the store; watches hear of it at once.
  void change(const std::string &Key, const std::string &Value) {
    Stored_ = Revision(Stored_.value() + 1);
    Changes_.push_back({Key, Value, Stored_, false});
    const auto Watches = std::exchange(Waiting_, {});
    for (const auto &[At, Until] : Watches) {
      OutputList Output;
      Fleets_[At].noteChangedRecords({Changes_.back()}, Stored_, Now_, Output);
      carryOut(At, Output);
    }
  }

  std::size_t behind() const {
    return static_cast<std::size_t>(
        std::count_if(Fleets_.begin(), Fleets_.end(), [&](const auto &Each) {
          return Each.view().revision() != Stored_;
        }));
  }

  void pass(Duration Time) {
    const framework::Instant End = Now_.Monotonic_ + Time;
    while (Now_.Monotonic_ < End) {
      Now_.Monotonic_ += milliseconds(10);
      for (std::size_t At = 0; At < Fleets_.size(); ++At) {
        OutputList Output;
        const auto Watch = Waiting_.find(At);
        if (Watch != Waiting_.end() && Watch->second <= Now_.Monotonic_) {
          Waiting_.erase(Watch);
          if (IsStoreDown_)
            Fleets_[At].noteRecordsUnavailable(Now_, Output);
          else
            Fleets_[At].noteChangedRecords({}, Stored_, Now_, Output);
        }
        if (Fleets_[At].nextWakeUp() <= Now_.Monotonic_)
          Fleets_[At].tick(Now_, Output);
        carryOut(At, Output);
      }
    }
  }

  std::map<std::size_t, framework::Instant> Waiting_;
  /// The rate at a cold target that each instance last computed.
  std::map<std::size_t, double> AppliedRates_;
};

} // namespace

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
    Fleet.Fleets_[Sender].noteStopRequested(Fleet.Now_, Output);
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
    Each.noteProbed(Target, Fleet.Now_.Monotonic_ - seconds(1));
    routing::LoadReport Report;
    Report.WarmupLeft_ = Duration::zero();
    Each.noteLoad(Target, Report, Fleet.Now_.Monotonic_);
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
  World Fleet(40);
  Fleet.pass(seconds(6));
  std::size_t Lost = 0;
  for (int Second = 0; Second < 20; ++Second) {
    Fleet.pass(seconds(1));
    for (const SeededFleet &Each : Fleet.Fleets_)
      Lost += 40 - Each.runningMembers();
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
  constexpr std::size_t Groups =
      (Instances + Neighbours::MaxSize - 1) / Neighbours::MaxSize;
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
      Fleet.Fleets_[At].noteProbed(Target, Fleet.Now_.Monotonic_);
      Fleet.Fleets_[At].noteLoad(Target, Healthy, Fleet.Now_.Monotonic_);
      Probers.insert(At);
    }
  }
  // Each probes over a connection of its own; groups change while instances
  // find each other.
  CHECK(Probers.size() <= 2 * Groups);
}

TEST_CASE("an instance that has just started probes a target once", "[seeds]") {
  World Fleet(1);
  const framework::TargetName Target("t1");
  int Probes = 0;
  for (int Step = 0; Step < 90; ++Step) {
    Fleet.pass(milliseconds(10));
    if (!Fleet.Fleets_[0].mayProbe(Target, Fleet.Now_.Monotonic_))
      continue;
    Fleet.Fleets_[0].noteProbed(Target, Fleet.Now_.Monotonic_);
    ++Probes;
  }
  CHECK(Probes == 1);
}
