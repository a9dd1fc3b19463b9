#include "admission/internal/priorityclassqueue.h"

#include <cstdint>
#include <iterator>
#include <limits>

namespace cranberryspool::admission {

void PriorityClassQueue::insert(const QueuedCall &Call, double Cost) {
  if (Call.Workspace_ && !HasTurns_)
    beginTurns();
  if (!Timely_.insert(Call).second)
    return;
  Starts_.insert(Call);
  if (HasTurns_)
    Turns_[Call.Priority_].add(Call.Workspace_, Cost);
}

bool PriorityClassQueue::erase(const QueuedCall &Call) {
  const std::optional<bool> IsLate = eraseFromSets(Call);
  if (IsLate && HasTurns_)
    Turns_[Call.Priority_].remove(Call.Workspace_, *IsLate);
  return IsLate.has_value();
}

bool PriorityClassQueue::eraseStarted(const QueuedCall &Call) {
  const std::optional<bool> IsLate = eraseFromSets(Call);
  if (IsLate && HasTurns_)
    Turns_[Call.Priority_].recordStarted(Call.Workspace_, *IsLate);
  return IsLate.has_value();
}

void PriorityClassQueue::demoteLate(framework::Instant Now) {
  while (!Starts_.empty() && Starts_.begin()->LatestTimelyStart_ < Now) {
    const QueuedCall Call = *Starts_.begin();
    Starts_.erase(Starts_.begin());
    Timely_.erase(Call);
    Late_.insert(Call);
    if (HasTurns_)
      Turns_[Call.Priority_].demote(Call.Workspace_);
  }
}

const QueuedCall &PriorityClassQueue::first() const {
  if (!HasTurns_)
    return Timely_.empty() ? *Late_.begin() : *Timely_.begin();
  const std::uint32_t Priority =
      Timely_.empty() ? Late_.begin()->Priority_ : Timely_.begin()->Priority_;
  const auto Turn = Turns_.at(Priority).next();
  const Group Of(Priority, Turn.Flow_);
  return Turn.IsLate_ ? firstOf(Late_, Of) : firstOf(Timely_, Of);
}

const QueuedCall &PriorityClassQueue::last() const {
  if (!HasTurns_)
    return Late_.empty() ? *Timely_.rbegin() : *Late_.rbegin();
  return lastOf(Late_.empty() ? Timely_.rbegin()->Priority_
                              : Late_.rbegin()->Priority_);
}

const QueuedCall &PriorityClassQueue::lastOf(std::uint32_t Priority) const {
  const Group Of(Priority, Turns_.at(Priority).furthestOverShare());
  const auto AfterLate = Late_.upper_bound(Of);
  if (AfterLate != Late_.begin() && Group(*std::prev(AfterLate)) == Of)
    return *std::prev(AfterLate);
  return *std::prev(Timely_.upper_bound(Of));
}

bool PriorityClassQueue::hasCallOverShare(const QueuedCall &Call,
                                          double Cost) const {
  const auto Turns = Turns_.find(Call.Priority_);
  return Turns != Turns_.end() &&
         !Turns->second.wouldBeFurthestOverShare(Call.Workspace_, Cost);
}

std::size_t PriorityClassQueue::countBefore(const QueuedCall &Call,
                                            double Cost) const {
  if (!HasTurns_)
    return countFrom(Timely_.begin(), Call);
  std::size_t Count = 0;
  for (const auto &[Priority, Turns] : Turns_) {
    if (Priority >= Call.Priority_)
      break;
    Count += Turns.timelyCalls();
  }
  const auto Turns = Turns_.find(Call.Priority_);
  if (Turns == Turns_.end() || Turns->second.timelyCalls() == 0)
    return Count;
  return Count + Turns->second.countBefore(
                     Call.Workspace_, Cost,
                     countFrom(Timely_.lower_bound(Group(Call)), Call));
}

std::size_t PriorityClassQueue::countFrom(TimelySet::const_iterator Begin,
                                          const QueuedCall &Call) const {
  if (Call.hasObjective())
    return static_cast<std::size_t>(
        std::distance(Begin, Timely_.lower_bound(Call)));
  QueuedCall LastOfItsArrival = Call;
  LastOfItsArrival.Call_ =
      framework::CallId(std::numeric_limits<std::uint64_t>::max());
  return static_cast<std::size_t>(
      std::distance(Begin, Timely_.upper_bound(LastOfItsArrival)));
}

void PriorityClassQueue::beginTurns() {
  HasTurns_ = true;
  for (const QueuedCall &Call : Timely_)
    Turns_[Call.Priority_].add(Call.Workspace_, 1);
  for (const QueuedCall &Call : Late_) {
    Turns_[Call.Priority_].add(Call.Workspace_, 1);
    Turns_[Call.Priority_].demote(Call.Workspace_);
  }
}

std::optional<bool> PriorityClassQueue::eraseFromSets(const QueuedCall &Call) {
  if (eraseFrom(Timely_, Call)) {
    eraseFrom(Starts_, Call);
    return false;
  }
  if (eraseFrom(Late_, Call))
    return true;
  return std::nullopt;
}

} // namespace cranberryspool::admission
