#include "fleet/internal/seeded/seededfleet.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// Demand that has not changed is told again at this interval.
constexpr framework::Duration DemandInterval = std::chrono::milliseconds(200);

} // namespace

void SeededFleet::sendDemand(const EventContext &Context) {
  if (!Demand_)
    return;
  const bool IsRenewalDue = Context.Now_ >= NextDemandAt_;
  if (Demand_ == SentDemand_ && !IsRenewalDue)
    return;
  // Without an update the peers count this instance's demand as unknown.
  if (Demand_->size() > capacity::DemandUpdate::MaxServices)
    return;
  NextDemandAt_ = Context.Now_ + DemandInterval;
  SentDemand_ = Demand_;
  capacity::DemandUpdate Update;
  Update.From_ = Membership_.self().Name_;
  Update.Incarnation_ = Membership_.self().Incarnation_;
  Update.Sequence_ = ++DemandSequence_;
  Update.Services_ = *Demand_;
  Context.sendToGroup(Update);
  Context.Output_.push_back(DemandReceived{std::move(Update)});
}

void SeededFleet::handle(const capacity::DemandUpdate &Message,
                         framework::Moment Now, OutputList &Output) {
  if (!checkSender(Message.From_, Message.Incarnation_, "demand",
                   Now.Monotonic_, Output))
    return;
  Group_.recordActivity(Message.From_, Now.Monotonic_);
  Output.push_back(DemandReceived{Message});
}

std::optional<GroupPosition>
SeededFleet::groupPosition(framework::Instant Now) const {
  if (!isDiscoveryComplete(Now))
    return std::nullopt;
  const MemberInfo &Self = Membership_.self();
  GroupPosition Position;
  Position.Members_.push_back(Self.Name_);
  for (const auto &[Name, Address] : Group_.addresses())
    Position.Members_.push_back(Name);
  std::sort(Position.Members_.begin(), Position.Members_.end());
  const std::pair First(Self.Zone_, Position.Members_.front());
  for (const auto &[Name, State] : Membership_.members()) {
    if (State.IsLost_ || State.IsStopping_)
      continue;
    ++Position.FleetSize_;
    if (std::pair(State.Info_.Zone_, Name) < First)
      ++Position.FirstRank_;
  }
  return Position;
}

} // namespace cranberryspool::fleet
