#include "decision/experiment/corefleet.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::experiment {

namespace {

using framework::Duration;
using framework::Instant;

const framework::Revision ListRevision(1);
/// The calls of all instances are numbered in one sequence from 1.
constexpr std::uint64_t FirstCall = 1;

/// Returns the zones of the example document of the deployment, in the order of
/// the document.
std::vector<std::string> zoneNames(const Deployment &Fleet) {
  if (Fleet.Name_ == "lagos")
    return {"ikeja", "lekki", "yaba"};
  return {"gla", "edi", "lvs"};
}

std::string twoDigits(std::uint32_t Number) {
  return (Number < 10 ? "0" : "") + std::to_string(Number);
}

framework::Moment moment(Instant Now) {
  return {Now, framework::WallTime(Now.time_since_epoch())};
}

} // namespace

CoreFleet::CoreFleet(const Deployment &Fleet, CoreFleetSettings Settings,
                     const Workload &Work)
    : Fleet_(Fleet), Settings_(std::move(Settings)), Work_(Work) {
  Results_.resize(Fleet.Services_.size() * 2);
  Published_.Revision_ = ListRevision;
  Now_ = startOfRun() - Settings_.StartupTime_;
  makeTargets();
  makeInstances();
}

void CoreFleet::makeTargets() {
  const auto Zones = zoneNames(Fleet_);
  for (const ServiceModel &Model : Fleet_.Services_)
    for (std::uint32_t Rank = 0; Rank < Model.Targets_; ++Rank) {
      const auto Index = static_cast<std::uint32_t>(Targets_.size());
      const std::uint32_t Zone = Rank % Fleet_.Zones_;
      const std::string Address = "127.1." + std::to_string(Index) + ".1:8000";
      Targets_.emplace_back(Model.SlotsPerTarget_, Settings_.MaxQueueOfTarget_,
                            Settings_.ReportLag_);
      TargetZones_.push_back(Zone);
      TargetsByAddress_.emplace(Address, Index);
      Published_.Instances_.push_back(
          {framework::InstanceName(Model.Name_ + "-" + twoDigits(Rank)),
           framework::GroupName(Model.Name_ + "-" + Zones[Zone]),
           framework::ZoneName(Zones[Zone]), Address, false});
    }
  Generations_.resize(Targets_.size());
}

void CoreFleet::makeInstances() {
  const auto Zones = zoneNames(Fleet_);
  framework::Random SeedSource(Settings_.Seed_);
  for (std::uint32_t Index = 0; Index < Fleet_.Instances_; ++Index) {
    const std::uint32_t Zone = Index % Fleet_.Zones_;
    const framework::InstanceName Name("entry-" + twoDigits(Index));
    const std::string Address = "127.2." + std::to_string(Index) + ".1:9000";
    decision::CoreSettings Core;
    Core.Self_ = Name;
    Core.Incarnation_ = framework::Incarnation(Index + 1);
    Core.Zone_ = framework::ZoneName(Zones[Zone]);
    Core.PeerAddress_ = Address;
    Published_.Instances_.push_back(
        {Name, std::nullopt, Core.Zone_, Address, false});
    InstancesByAddress_.emplace(Address, Index);
    Instances_.push_back(
        {Zone, Address,
         decision::Core(std::move(Core), framework::Random(SeedSource.bits())),
         Instant::max()});
  }
}

void CoreFleet::run() {
  for (std::uint32_t Index = 0; Index < Instances_.size(); ++Index)
    schedule(Now_, [this, Index] { deliver(Index, decision::Tick{}); });
  scheduleSpeedChange(0);
  scheduleArrival(0);
  const Instant End = Work_.Arrivals_.back().At_ + std::chrono::seconds(5);
  while (!Schedule_.empty() && Schedule_.top().At_ <= End) {
    const ScheduledTask Next = Schedule_.top();
    Schedule_.pop();
    Now_ = Next.At_;
    const Task Callback = std::move(Tasks_.extract(Next.Sequence_).mapped());
    Callback();
  }
}

CoreTotals CoreFleet::totals() const {
  CoreTotals Totals;
  for (const Instance &Each : Instances_) {
    const auto &Counters = Each.Core_.counters();
    Totals.AttemptsSent_ += Counters.AttemptsSent_;
    Totals.RetriesSent_ += Counters.RetriesSent_;
    Totals.HedgesSent_ += Counters.HedgesSent_;
    Totals.HedgesWon_ += Counters.HedgesWon_;
    Totals.ProbesSent_ += Counters.ProbesSent_;
  }
  return Totals;
}

void CoreFleet::schedule(Instant At, Task Callback) {
  const std::uint64_t Sequence = NextSequence_++;
  Schedule_.push({std::max(At, Now_), Sequence});
  Tasks_.emplace(Sequence, std::move(Callback));
}

void CoreFleet::scheduleArrival(std::uint32_t Call) {
  if (Call < Work_.Arrivals_.size())
    schedule(Work_.Arrivals_[Call].At_, [this, Call] { deliverCall(Call); });
}

void CoreFleet::scheduleSpeedChange(std::uint32_t Change) {
  if (Change >= Work_.SpeedChanges_.size())
    return;
  schedule(Work_.SpeedChanges_[Change].At_, [this, Change] {
    const Workload::SpeedChange &Now = Work_.SpeedChanges_[Change];
    Targets_[Now.Target_].setSpeed(Now.Speed_, Now_);
    scheduleCompletion(Now.Target_);
    scheduleSpeedChange(Change + 1);
  });
}

void CoreFleet::deliver(std::uint32_t Index, const decision::Event &Input) {
  decision::ActionList Actions;
  Instances_[Index].Core_.handle(moment(Now_), Input, Actions);
  for (const decision::Action &Action : Actions)
    std::visit([&](const auto &Each) { perform(Index, Each); }, Action);
  scheduleWakeUp(Index);
}

void CoreFleet::scheduleWakeUp(std::uint32_t Index) {
  Instance &Self = Instances_[Index];
  const Instant At = std::max(Self.Core_.nextWakeUp(), Now_ + Duration(1));
  if (Self.WakeAt_ > Now_ && Self.WakeAt_ <= At)
    return;
  Self.WakeAt_ = At;
  schedule(At, [this, Index, At] {
    if (Instances_[Index].WakeAt_ != At)
      return;
    Instances_[Index].WakeAt_ = Instant::max();
    deliver(Index, decision::Tick{});
  });
}

void CoreFleet::deliverCall(std::uint32_t Call) {
  scheduleArrival(Call + 1);
  const auto &Arrival = Work_.Arrivals_[Call];
  const ServiceModel &Model = Fleet_.Services_[Arrival.Service_];
  const bool IsUrgent = Arrival.Urgency_ == document::Urgency::Urgent;
  const RequestModel &Request = IsUrgent ? Model.Urgent_ : Model.Ordinary_;
  decision::CallArrived Input;
  Input.Call_ = framework::CallId(Call + FirstCall);
  Input.Method_ = Request.Method_;
  Input.Path_ = Request.Path_;
  Input.Urgency_ = Arrival.Urgency_;
  deliver(Arrival.Instance_, Input);
}

} // namespace cranberryspool::experiment
