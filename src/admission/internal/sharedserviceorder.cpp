#include "admission/internal/sharedserviceorder.h"

#include <cstdint>

namespace cranberryspool::admission {

using framework::Instant;
using scheduling::KindKey;

namespace {

/// The ranks of ordinary calls follow those of all urgent ones.
constexpr std::uint64_t OrdinaryRank = std::uint64_t{1} << 32U;

} // namespace

KindKey SharedServiceOrder::key(const QueuedCall &Call) {
  const std::uint64_t ClassRank =
      Call.Urgency_ == document::Urgency::Urgent ? 0 : OrdinaryRank;
  return {ClassRank | Call.Priority_, Call.Kind_};
}

bool SharedServiceOrder::recordOffered(const QueuedCall &Call, Instant Now) {
  Schedule_.recordArrival(key(Call), Call.Objective_, Call.ExpectedWork_, Now);
  return Schedule_.isShared();
}

void SharedServiceOrder::insert(const QueuedCall &Call, double WorkspaceCost) {
  const KindKey Key = key(Call);
  Kinds_[Key].insert(Call, WorkspaceCost);
  Schedule_.add(Key);
  ++Lengths_[index(Call.Urgency_)];
}

bool SharedServiceOrder::erase(const QueuedCall &Call) {
  const auto Calls = Kinds_.find(key(Call));
  if (Calls == Kinds_.end() || !Calls->second.erase(Call))
    return false;
  Schedule_.remove(key(Call));
  --Lengths_[index(Call.Urgency_)];
  return true;
}

void SharedServiceOrder::eraseStarted(const QueuedCall &Call) {
  const KindKey Key = key(Call);
  const auto Calls = Kinds_.find(Key);
  if (Calls == Kinds_.end() || !Calls->second.eraseStarted(Call))
    return;
  Schedule_.recordStarted(Key);
  --Lengths_[index(Call.Urgency_)];
}

void SharedServiceOrder::demoteLate(Instant Now) {
  if (empty())
    return;
  for (auto &[Key, Calls] : Kinds_)
    Calls.demoteLate(Now);
}

const QueuedCall *SharedServiceOrder::first(bool MayUrgentStart,
                                            bool MayOrdinaryStart) const {
  if (empty())
    return nullptr;
  const auto Turn = Schedule_.next(
      [=](KindKey Key) {
        return Key.Rank_ < OrdinaryRank ? MayUrgentStart : MayOrdinaryStart;
      },
      [this](KindKey Key) {
        const PriorityClassQueue &Calls = Kinds_.at(Key);
        return Calls.hasTimely() ? Calls.first().LatestTimelyStart_
                                 : Instant::max();
      });
  return Turn ? &Kinds_.at(Turn->Kind_).first() : nullptr;
}

const QueuedCall &SharedServiceOrder::last() const {
  return Kinds_.at(Schedule_.furthestOverShare()).last();
}

bool SharedServiceOrder::hasCallOverShare(const QueuedCall &Call,
                                          double WorkspaceCost) const {
  if (empty())
    return false;
  if (!Schedule_.wouldBeFurthestOverShare(key(Call)))
    return true;
  const auto Calls = Kinds_.find(key(Call));
  return Calls != Kinds_.end() &&
         Calls->second.hasCallOverShare(Call, WorkspaceCost);
}

std::size_t SharedServiceOrder::countBefore(const QueuedCall &Call,
                                            double WorkspaceCost) const {
  const auto Calls = Kinds_.find(key(Call));
  const std::size_t OwnCallsAhead =
      Calls == Kinds_.end() ? 0
                            : Calls->second.countBefore(Call, WorkspaceCost);
  return empty() ? 0 : Schedule_.countBefore(key(Call), OwnCallsAhead);
}

} // namespace cranberryspool::admission
