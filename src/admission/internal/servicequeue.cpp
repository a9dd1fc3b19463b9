#include "admission/internal/servicequeue.h"

#include <algorithm>

namespace cranberryspool::admission {

namespace {

using document::Urgency;
using framework::CallId;
using framework::Duration;
using framework::Instant;

constexpr std::size_t MaxWaiting = 512;
/// An ordinary call that is older than an urgent one by this is overdue.
constexpr Duration OrdinarySetback = std::chrono::milliseconds(250);
/// So many urgent calls start between two overdue ordinary ones. In overload
/// all ordinary calls are overdue; they must not displace the urgent ones.
constexpr std::uint32_t UrgentPerOverdue = 3;
/// The part of an answer's average time that a call needs to be tried when it
/// can start at once; one that has to wait needs all of it.
constexpr double NeededShareOfAverage = 0.5;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(10);

} // namespace

framework::Result<void, Refusal> ServiceQueue::offer(const QueuedCall &Call,
                                                     Instant Now) {
  const Duration Wait = expectedWait(Call.Urgency_);
  const Duration RetryAfter = std::max(Wait, MinRetryAfter);
  const Duration Needed = Wait == Duration::zero()
                              ? std::chrono::duration_cast<Duration>(
                                    timeToRun() * NeededShareOfAverage)
                              : Wait + timeToRun();
  if (Now + Needed >= Call.Deadline_)
    return Refusal{RefusalReason::DeadlineTooShort, RetryAfter};
  const std::size_t Waiting = Waiting_[0].size() + Waiting_[1].size();
  const bool HasWay = Call.Urgency_ == Urgency::Urgent && !Waiting_[1].empty();
  if (Waiting >= MaxWaiting && !HasWay)
    return Refusal{RefusalReason::QueueFull, RetryAfter};
  Waiting_[index(Call.Urgency_)].insert(Call);
  Deadlines_.insert(Call);
  return framework::success();
}

std::optional<QueuedCall> ServiceQueue::shedOrdinary() {
  const std::size_t Waiting = Waiting_[0].size() + Waiting_[1].size();
  if (Waiting <= MaxWaiting || Waiting_[1].empty())
    return std::nullopt;
  const QueuedCall Newest = *Waiting_[1].rbegin();
  remove(Newest);
  return Newest;
}

std::optional<CallId> ServiceQueue::next() const {
  const auto &Urgent = Waiting_[0];
  const auto &Ordinary = Waiting_[1];
  const bool HasUrgent = !Urgent.empty() && mayStart(Urgency::Urgent);
  const bool HasOrdinary = !Ordinary.empty() && mayStart(Urgency::Ordinary);
  if (!HasUrgent && !HasOrdinary)
    return std::nullopt;
  if (!HasOrdinary)
    return Urgent.begin()->Call_;
  if (!HasUrgent)
    return Ordinary.begin()->Call_;
  const bool IsOverdue =
      Ordinary.begin()->Arrival_ + OrdinarySetback < Urgent.begin()->Arrival_;
  return IsOverdue && UrgentInRow_ >= UrgentPerOverdue ? Ordinary.begin()->Call_
                                                       : Urgent.begin()->Call_;
}

bool ServiceQueue::remove(const QueuedCall &Call) {
  Deadlines_.erase(Call);
  return Waiting_[index(Call.Urgency_)].erase(Call) > 0;
}

void ServiceQueue::takeExpired(Instant Now, std::vector<QueuedCall> &Output) {
  const Duration Needed = timeToRun();
  while (!Deadlines_.empty() && Deadlines_.begin()->Deadline_ <= Now + Needed) {
    Output.push_back(*Deadlines_.begin());
    remove(Output.back());
  }
}

void ServiceQueue::recordStarted(const QueuedCall &Call, Instant Now) {
  const bool IsUrgent = Call.Urgency_ == Urgency::Urgent;
  remove(Call);
  ++Running_[index(Call.Urgency_)];
  LastWait_[index(Call.Urgency_)] = Now - Call.Arrival_;
  UrgentInRow_ = IsUrgent ? UrgentInRow_ + 1 : 0;
}

void ServiceQueue::recordEnded(Urgency Urgency) {
  auto &Running = Running_[index(Urgency)];
  Running -= std::min(Running, 1U);
}

bool ServiceQueue::isAtLimit() const { return !mayStart(Urgency::Ordinary); }

bool ServiceQueue::isEmpty() const {
  return Waiting_[0].empty() && Waiting_[1].empty();
}

std::size_t ServiceQueue::waiting(Urgency Urgency) const {
  return Waiting_[index(Urgency)].size();
}

std::uint32_t ServiceQueue::running() const {
  return Running_[0] + Running_[1];
}

std::optional<Instant> ServiceQueue::nextExpiry() const {
  if (Deadlines_.empty())
    return std::nullopt;
  return Deadlines_.begin()->Deadline_ - timeToRun();
}

bool ServiceQueue::mayStart(Urgency Urgency) const {
  if (running() >= Limit_.limit(Urgency::Urgent))
    return false;
  return Urgency == Urgency::Urgent ||
         Running_[1] < Limit_.limit(Urgency::Ordinary);
}

Duration ServiceQueue::expectedWait(Urgency Urgency) const {
  std::size_t Before = Waiting_[0].size();
  if (Urgency == Urgency::Ordinary)
    Before += Waiting_[1].size();
  if (Before == 0 && mayStart(Urgency))
    return Duration::zero();
  const auto Limit = Limit_.limit(Urgency);
  const Duration ByLength =
      Limit_.averageTime() * static_cast<Duration::rep>(Before) / Limit;
  // Urgent calls keep ordinary ones waiting for longer than the length tells.
  const bool HasLast = !Waiting_[index(Urgency)].empty();
  return HasLast ? std::max(ByLength, LastWait_[index(Urgency)]) : ByLength;
}

Duration ServiceQueue::timeToRun() const { return Limit_.averageTime(); }

} // namespace cranberryspool::admission
