#include "admission/internal/servicequeue.h"

#include <algorithm>

namespace cranberryspool::admission {

namespace {

using document::Urgency;
using framework::CallId;
using framework::Duration;
using framework::Instant;

constexpr std::size_t MaxQueuedCalls = 512;
/// An ordinary call is overdue when it arrived this much earlier than the first
/// urgent one.
constexpr Duration OverdueAge = std::chrono::milliseconds(250);
/// The number of urgent calls that start between two overdue ordinary ones. In
/// an overload all ordinary calls are overdue; they must not displace the
/// urgent ones.
constexpr std::uint32_t UrgentStartsPerOverdue = 3;
/// The fraction of the average latency that must be left before the deadline of
/// a call that can start at once. A call that has to be queued needs the whole
/// average latency.
constexpr double MinTimeFraction = 0.5;
/// The weight of the latest sample in the average time between starts.
constexpr double StartIntervalWeight = 0.2;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(10);

} // namespace

framework::Result<void, Refusal> ServiceQueue::offer(const QueuedCall &Call,
                                                     Instant Now) {
  const Duration Wait = expectedWait(Call, Now);
  const Duration RetryAfter = std::max(Wait, MinRetryAfter);
  const Duration Needed = Wait == Duration::zero()
                              ? std::chrono::duration_cast<Duration>(
                                    expectedRunTime() * MinTimeFraction)
                              : Wait + expectedRunTime();
  if (Now + Needed >= Call.Deadline_)
    return Refusal{RefusalReason::DeadlineTooShort, RetryAfter};
  const std::size_t QueuedCalls = Queued_[0].size() + Queued_[1].size();
  const bool CanShedOrdinary =
      Call.Urgency_ == Urgency::Urgent && !Queued_[1].empty();
  if (QueuedCalls >= MaxQueuedCalls && !CanShedOrdinary)
    return Refusal{RefusalReason::QueueFull, RetryAfter};
  if (isEmpty())
    LastStartAt_ = Now;
  Queued_[index(Call.Urgency_)].insert(Call);
  Deadlines_.insert(Call);
  return framework::success();
}

std::optional<QueuedCall> ServiceQueue::shedOrdinary() {
  const std::size_t QueuedCalls = Queued_[0].size() + Queued_[1].size();
  if (QueuedCalls <= MaxQueuedCalls || Queued_[1].empty())
    return std::nullopt;
  const QueuedCall Newest = Queued_[1].last();
  remove(Newest);
  return Newest;
}

std::optional<CallId> ServiceQueue::next() const {
  const auto &Urgent = Queued_[0];
  const auto &Ordinary = Queued_[1];
  const bool HasUrgent = !Urgent.empty() && mayStart(Urgency::Urgent);
  const bool HasOrdinary = !Ordinary.empty() && mayStart(Urgency::Ordinary);
  if (!HasUrgent && !HasOrdinary)
    return std::nullopt;
  if (!HasOrdinary)
    return Urgent.first().Call_;
  if (!HasUrgent)
    return Ordinary.first().Call_;
  const bool IsOverdue =
      Ordinary.first().Arrival_ + OverdueAge < Urgent.first().Arrival_;
  return IsOverdue && ConsecutiveUrgentStarts_ >= UrgentStartsPerOverdue
             ? Ordinary.first().Call_
             : Urgent.first().Call_;
}

bool ServiceQueue::remove(const QueuedCall &Call) {
  Deadlines_.erase(Call);
  return Queued_[index(Call.Urgency_)].erase(Call);
}

void ServiceQueue::takeExpired(Instant Now, std::vector<QueuedCall> &Output) {
  for (PriorityClassQueue &Class : Queued_)
    Class.demoteLate(Now);
  const Duration Needed = expectedRunTime();
  while (!Deadlines_.empty() && Deadlines_.begin()->Deadline_ <= Now + Needed) {
    Output.push_back(*Deadlines_.begin());
    remove(Output.back());
  }
  takeUnservable(Urgency::Urgent, Now, Output);
  takeUnservable(Urgency::Ordinary, Now, Output);
}

void ServiceQueue::recordStarted(const QueuedCall &Call, Instant Now) {
  const bool IsUrgent = Call.Urgency_ == Urgency::Urgent;
  remove(Call);
  ++Running_[index(Call.Urgency_)];
  recordStartInterval(Now);
  ConsecutiveUrgentStarts_ = IsUrgent ? ConsecutiveUrgentStarts_ + 1 : 0;
}

void ServiceQueue::recordEnded(Urgency Urgency) {
  auto &Running = Running_[index(Urgency)];
  Running -= std::min(Running, 1U);
}

bool ServiceQueue::isAtLimit() const { return !mayStart(Urgency::Ordinary); }

bool ServiceQueue::isEmpty() const {
  return Queued_[0].empty() && Queued_[1].empty();
}

std::size_t ServiceQueue::queueLength(Urgency Urgency) const {
  return Queued_[index(Urgency)].size();
}

std::uint32_t ServiceQueue::running() const {
  return Running_[0] + Running_[1];
}

std::optional<Instant> ServiceQueue::nextExpiry() const {
  if (Deadlines_.empty())
    return std::nullopt;
  return Deadlines_.begin()->Deadline_ - expectedRunTime();
}

bool ServiceQueue::mayStart(Urgency Urgency) const {
  if (running() >= Limit_.limit(Urgency::Urgent))
    return false;
  return Urgency == Urgency::Urgent ||
         Running_[1] < Limit_.limit(Urgency::Ordinary);
}

Duration ServiceQueue::expectedWait(const QueuedCall &Call, Instant Now) const {
  std::size_t CallsAhead = Queued_[0].size();
  if (Call.Urgency_ == Urgency::Ordinary)
    CallsAhead += Queued_[1].countBefore(Call);
  else
    CallsAhead = Queued_[0].countBefore(Call);
  if (CallsAhead == 0 && mayStart(Call.Urgency_))
    return Duration::zero();
  const auto Ahead = static_cast<Duration::rep>(CallsAhead);
  const Duration WaitByLimit = Limit_.averageLatency() * Ahead /
                               std::max(Limit_.limit(Call.Urgency_), 1U);
  return std::max(WaitByLimit, startInterval(Now) * Ahead);
}

Duration ServiceQueue::startInterval(Instant Now) const {
  if (StartInterval_ == Duration::zero())
    return StartInterval_;
  return std::max(StartInterval_, Now - LastStartAt_);
}

Duration ServiceQueue::drainTime(Instant Now) const {
  return startInterval(Now) *
         static_cast<Duration::rep>(Queued_[0].size() + Queued_[1].size());
}

void ServiceQueue::recordStartInterval(Instant Now) {
  const Duration Interval = Now - LastStartAt_;
  LastStartAt_ = Now;
  if (isEmpty())
    return;
  StartInterval_ += std::chrono::duration_cast<Duration>(
      (Interval - StartInterval_) * StartIntervalWeight);
}

void ServiceQueue::takeUnservable(Urgency Urgency, Instant Now,
                                  std::vector<QueuedCall> &Output) {
  PriorityClassQueue &Class = Queued_[index(Urgency)];
  while (!Class.empty() && StartInterval_ > Duration::zero()) {
    const QueuedCall Last = Class.last();
    std::size_t CallsAhead = Class.size() - 1;
    if (Urgency == Urgency::Ordinary)
      CallsAhead += Queued_[0].size();
    const Duration Wait =
        startInterval(Now) * static_cast<Duration::rep>(CallsAhead);
    if (Now + Wait + expectedRunTime() <= Last.Deadline_)
      return;
    Output.push_back(Last);
    remove(Last);
  }
}

Duration ServiceQueue::expectedRunTime() const {
  return Limit_.averageLatency();
}

} // namespace cranberryspool::admission
