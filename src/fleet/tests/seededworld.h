#ifndef CRANBERRYSPOOL_FLEET_TESTS_SEEDEDWORLD_H
#define CRANBERRYSPOOL_FLEET_TESTS_SEEDEDWORLD_H

#include "fleet/internal/seeded/seededfleet.h"
#include "fleet/peercodec.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cranberryspool::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The platform wants changes in force within this time.
inline constexpr framework::Duration ChangeInForce = seconds(2);

/// `document`, or `target` and a zone.
inline PublishedItem decode(const std::string &Key, const std::string &Value) {
  if (Value.starts_with("target ")) {
    PublishedTarget Target;
    Target.Name_ = framework::TargetName(Key);
    Target.Zone_ = framework::ZoneName(Value.substr(7));
    return Target;
  }
  if (Value != "document")
    return UnreadableRecord{"unknown value"};
  PublishedConfiguration Item;
  Item.Version_ = 3;
  Item.Document_ = std::make_shared<document::EnvironmentDocument>();
  return Item;
}

inline FleetSettings settingsOf(int Number, const std::string &Zone = "a") {
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
  framework::Revision Stored_{10};
  std::vector<StoredRecord> Targets_;
  std::vector<StoredRecord> Changes_;
  int Reads_ = 0;
  std::size_t LargestMessage_ = 0;
  /// Instances that neither hear nor are heard.
  std::set<std::size_t> Deaf_;
  /// Instances that take each message so late, as if it had just come.
  std::set<std::size_t> Slow_;
  static constexpr framework::Duration SlowLag = milliseconds(2'500);
  std::vector<
      std::pair<framework::Instant, std::pair<std::size_t, SendMessage>>>
      Delayed_;

  /// Instances take the zones in turn, and so do the targets, `t0` and on.
  explicit World(int Count, const std::vector<std::string> &Zones = {"a"},
                 int Targets = 0) {
    for (int At = 0; At < Targets; ++At)
      Targets_.push_back(
          {"t" + std::to_string(At),
           "target " + Zones[static_cast<std::size_t>(At) % Zones.size()],
           framework::Revision(8), false});
    for (int Number = 1; Number <= Count; ++Number)
      Places_[settingsOf(Number).Address_] =
          static_cast<std::size_t>(Number) - 1;
    for (int Number = 1; Number <= Count; ++Number)
      Fleets_.emplace_back(
          settingsOf(Number,
                     Zones[static_cast<std::size_t>(Number) % Zones.size()]),
          framework::Random(static_cast<unsigned>(Number)));
    for (std::size_t At = 0; At < Fleets_.size(); ++At) {
      OutputList Output;
      Fleets_[At].start(Now_, Output);
      carryOut(At, Output);
    }
  }

  void carryOut(std::size_t From, const OutputList &Output) {
    for (const LoadShared &Each : only<LoadShared>(Output))
      Heard_.emplace_back(From, Each);
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
    const auto Found = Places_.find(Message.PeerAddress_);
    if (Found == Places_.end())
      return;
    const std::size_t To = Found->second;
    if (Deaf_.contains(To) || Deaf_.contains(From))
      return;
    if (Slow_.contains(To)) {
      Delayed_.emplace_back(Now_.Monotonic_ + SlowLag, std::pair(To, Message));
      return;
    }
    handOver(To, Message);
  }

  void handOver(std::size_t To, const SendMessage &Message) {
    OutputList Output;
    std::visit(
        [&](const auto &Kind) {
          if constexpr (requires { Fleets_[To].handle(Kind, Now_, Output); })
            Fleets_[To].handle(Kind, Now_, Output);
        },
        Message.Message_);
    carryOut(To, Output);
  }

  void handOverDelayed() {
    std::vector<std::pair<std::size_t, SendMessage>> DueNow;
    std::erase_if(Delayed_, [&](const auto &Each) {
      const bool IsDue = Each.first <= Now_.Monotonic_;
      if (IsDue)
        DueNow.push_back(Each.second);
      return IsDue;
    });
    for (const auto &[To, Message] : DueNow)
      handOver(To, Message);
  }

  void answer(std::size_t From, const ReadRecords &Order) {
    ++Reads_;
    OutputList Output;
    if (IsStoreDown_)
      Fleets_[From].handleRecordsUnavailable(Now_, Output);
    else if (!Order.After_)
      Fleets_[From].handleAllRecords(allRecords(), Stored_, Now_, Output);
    else if (Order.Wait_ > framework::Duration::zero() &&
             *Order.After_ == Stored_)
      Waiting_[From] = Now_.Monotonic_ + Order.Wait_;
    else
      Fleets_[From].handleChangedRecords(changesAfter(*Order.After_), Stored_,
                                         Now_, Output);
    carryOut(From, Output);
  }

  std::vector<StoredRecord> allRecords() const {
    std::vector<StoredRecord> All = Targets_;
    All.push_back({"c", "document", framework::Revision(9), false});
    return All;
  }

  std::vector<StoredRecord> changesAfter(framework::Revision Known) const {
    std::vector<StoredRecord> Found;
    for (const StoredRecord &Each : Changes_)
      if (Each.Revision_ > Known)
        Found.push_back(Each);
    return Found;
  }

  /// Changes an entry of the store; watches hear of it at once.
  void change(const std::string &Key, const std::string &Value) {
    Stored_ = framework::Revision(Stored_.value() + 1);
    Changes_.push_back({Key, Value, Stored_, false});
    const auto Watches = std::exchange(Waiting_, {});
    for (const auto &[At, Until] : Watches) {
      OutputList Output;
      Fleets_[At].handleChangedRecords({Changes_.back()}, Stored_, Now_,
                                       Output);
      carryOut(At, Output);
    }
  }

  std::size_t behind() const {
    return static_cast<std::size_t>(
        std::count_if(Fleets_.begin(), Fleets_.end(), [&](const auto &Each) {
          return Each.view().revision() != Stored_;
        }));
  }

  void pass(framework::Duration Time) {
    const framework::Instant End = Now_.Monotonic_ + Time;
    while (Now_.Monotonic_ < End) {
      Now_.Monotonic_ += milliseconds(10);
      Now_.Wall_ += milliseconds(10);
      handOverDelayed();
      for (std::size_t At = 0; At < Fleets_.size(); ++At) {
        OutputList Output;
        const auto Watch = Waiting_.find(At);
        if (Watch != Waiting_.end() && Watch->second <= Now_.Monotonic_) {
          Waiting_.erase(Watch);
          if (IsStoreDown_)
            Fleets_[At].handleRecordsUnavailable(Now_, Output);
          else
            Fleets_[At].handleChangedRecords({}, Stored_, Now_, Output);
        }
        if (Fleets_[At].nextWakeUp() <= Now_.Monotonic_)
          Fleets_[At].tick(Now_, Output);
        carryOut(At, Output);
      }
    }
  }

  /// Instances by their addresses.
  std::map<std::string, std::size_t> Places_;
  std::map<std::size_t, framework::Instant> Waiting_;
  /// Loads that instances were told of.
  std::vector<std::pair<std::size_t, LoadShared>> Heard_;
  /// The rate at a cold target that each instance last computed.
  std::map<std::size_t, double> AppliedRates_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TESTS_SEEDEDWORLD_H
