#include "scheduling/starttimefairqueue.h"

#include <algorithm>
#include <cmath>

namespace cranberryspool::scheduling {

namespace {

/// A flow that has only late calls gets one turn in the time of this many while
/// others have timely calls: no workspace may be served less than a quarter as
/// often as the others.
constexpr double TurnsPerLateCall = 4;

} // namespace

void StartTimeFairQueue::add(FlowId Flow, double Cost) {
  FlowState &State = state(Flow);
  if (State.size() == 0)
    State.Tag_ = std::max(State.Tag_, VirtualTime_);
  State.Cost_ = Cost;
  ++State.Timely_;
  ++TimelyCalls_;
}

void StartTimeFairQueue::demote(FlowId Flow) {
  FlowState &State = state(Flow);
  --State.Timely_;
  --TimelyCalls_;
  ++State.Late_;
  ++LateCalls_;
}

void StartTimeFairQueue::remove(FlowId Flow, bool IsLate) {
  countRemoved(state(Flow), IsLate);
}

void StartTimeFairQueue::recordStarted(FlowId Flow, bool IsLate) {
  FlowState &State = state(Flow);
  VirtualTime_ = std::max(VirtualTime_, State.Tag_);
  const bool IsAheadOfTimely = IsLate && TimelyCalls_ > 0;
  State.Tag_ += IsAheadOfTimely ? State.Cost_ * TurnsPerLateCall : State.Cost_;
  HighestTag_ = std::max(HighestTag_, State.Tag_);
  countRemoved(State, IsLate);
}

StartTimeFairQueue::Turn StartTimeFairQueue::next() const {
  const FlowState *Timely = nullptr;
  const FlowState *Late = nullptr;
  const FlowState *Overdue = nullptr;
  const auto Keep = [](const FlowState *&Lowest, const FlowState &State) {
    if (!Lowest || State.Tag_ < Lowest->Tag_)
      Lowest = &State;
  };
  for (const FlowState &State : Flows_) {
    if (State.Timely_ > 0) {
      Keep(Timely, State);
      continue;
    }
    if (State.Late_ == 0)
      continue;
    Keep(Late, State);
    if (isOverdue(State))
      Keep(Overdue, State);
  }
  if (Timely && !Overdue)
    return {Timely->Flow_, false};
  return {Overdue ? Overdue->Flow_ : Late->Flow_, true};
}

FlowId StartTimeFairQueue::furthestOverShare() const {
  const FlowState *Furthest = nullptr;
  for (const FlowState &State : Flows_)
    if (State.size() > 0 &&
        (!Furthest || State.finishTag() >= Furthest->finishTag()))
      Furthest = &State;
  return Furthest->Flow_;
}

bool StartTimeFairQueue::wouldBeFurthestOverShare(FlowId Flow,
                                                  double Cost) const {
  const FlowState *Own = find(Flow);
  const std::size_t OwnCalls = Own ? Own->size() : 0;
  const double Tag = Own ? Own->Tag_ : 0;
  const double Start = OwnCalls > 0 ? Tag : std::max(Tag, VirtualTime_);
  const double Finish = Start + Cost * static_cast<double>(OwnCalls + 1);
  return std::all_of(Flows_.begin(), Flows_.end(), [&](const FlowState &Other) {
    return Other.Flow_ == Flow || Other.size() == 0 ||
           Other.finishTag() <= Finish;
  });
}

std::size_t StartTimeFairQueue::countBefore(FlowId Flow, double Cost,
                                            std::size_t OwnCallsAhead) const {
  const FlowState *Own = find(Flow);
  const double Tag = Own ? Own->Tag_ : 0;
  const double Start =
      Own && Own->size() > 0 ? Tag : std::max(Tag, VirtualTime_);
  const double Due = Start + Cost * static_cast<double>(OwnCallsAhead);
  std::size_t Count = OwnCallsAhead;
  for (const FlowState &Other : Flows_) {
    if (Other.Flow_ == Flow || Other.Timely_ == 0 || Other.Tag_ > Due)
      continue;
    const double Turns = std::floor((Due - Other.Tag_) / Other.Cost_) + 1;
    Count += Turns >= static_cast<double>(Other.Timely_)
                 ? Other.Timely_
                 : static_cast<std::size_t>(Turns);
  }
  return Count;
}

const StartTimeFairQueue::FlowState *
StartTimeFairQueue::find(FlowId Flow) const {
  const auto Found = std::lower_bound(
      Flows_.begin(), Flows_.end(), Flow,
      [](const FlowState &State, FlowId Id) { return State.Flow_ < Id; });
  return Found != Flows_.end() && Found->Flow_ == Flow ? &*Found : nullptr;
}

StartTimeFairQueue::FlowState &StartTimeFairQueue::state(FlowId Flow) {
  const auto IsBefore = [](const FlowState &State, FlowId Id) {
    return State.Flow_ < Id;
  };
  auto Place = std::lower_bound(Flows_.begin(), Flows_.end(), Flow, IsBefore);
  if (Place != Flows_.end() && Place->Flow_ == Flow)
    return *Place;
  if (Flows_.size() == Flows_.capacity()) {
    std::erase_if(Flows_, [this](const FlowState &State) {
      return State.size() == 0 && State.Tag_ <= VirtualTime_;
    });
    Place = std::lower_bound(Flows_.begin(), Flows_.end(), Flow, IsBefore);
  }
  FlowState New;
  New.Flow_ = Flow;
  return *Flows_.insert(Place, New);
}

bool StartTimeFairQueue::isOverdue(const FlowState &State) const {
  return VirtualTime_ - State.Tag_ > State.Cost_ * (TurnsPerLateCall - 1);
}

void StartTimeFairQueue::countRemoved(FlowState &State, bool IsLate) {
  --(IsLate ? State.Late_ : State.Timely_);
  --(IsLate ? LateCalls_ : TimelyCalls_);
  // The end of a busy period: all flows are served, so none is owed anything.
  if (TimelyCalls_ + LateCalls_ == 0)
    VirtualTime_ = HighestTag_;
}

} // namespace cranberryspool::scheduling
