#include "admission/internal/servicequeue.h"

#include <algorithm>

namespace cranberryspool::admission {

namespace {

using document::Urgency;
using framework::CallId;
using framework::Duration;
using framework::Instant;
using scheduling::LoadSheddingMode;

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
/// The waits of all kinds are compared with their deadlines no more often than
/// this: events come in much shorter intervals in an overload.
constexpr Duration MinCheckInterval = std::chrono::milliseconds(1);
constexpr Duration MinRetryAfter = std::chrono::milliseconds(10);

} // namespace

framework::Result<void, Refusal> ServiceQueue::offer(const QueuedCall &Call,
                                                     Instant Now) {
  const double Cost = recordOffered(Call, Now);
  const bool IsByKind =
      Settings_.LoadShedding_ == LoadSheddingMode::SharedServices &&
      Shared_.recordOffered(Call, Now);
  const Duration Wait = expectedWait(Call, Cost, IsByKind, Now);
  const Duration RetryAfter = std::max(Wait, MinRetryAfter);
  const Duration Needed = Wait == Duration::zero()
                              ? std::chrono::duration_cast<Duration>(
                                    expectedRunTime(Call) * MinTimeFraction)
                              : Wait + expectedRunTime(Call);
  if (Now + Needed >= Call.Deadline_)
    return Refusal{RefusalReason::DeadlineTooShort, RetryAfter};
  if (size() >= MaxQueuedCalls && !canShedFor(Call, Cost, IsByKind))
    return Refusal{RefusalReason::QueueFull, RetryAfter};
  if (isEmpty())
    LastStartAt_ = Now;
  if (IsByKind)
    Shared_.insert(Call, Cost);
  else
    Queued_[index(Call.Urgency_)].insert(Call, Cost);
  Deadlines_.insert(Call);
  return framework::success();
}

bool ServiceQueue::canShedFor(const QueuedCall &Call, double Cost,
                              bool IsByKind) const {
  if (IsByKind)
    return Shared_.hasCallOverShare(Call, Cost);
  return (Call.Urgency_ == Urgency::Urgent && !Queued_[1].empty()) ||
         Queued_[index(Call.Urgency_)].hasCallOverShare(Call, Cost);
}

std::optional<QueuedCall> ServiceQueue::shedFor(const QueuedCall &Added) {
  if (size() <= MaxQueuedCalls)
    return std::nullopt;
  const bool IsInFavourOfUrgent =
      Added.Urgency_ == Urgency::Urgent && !Queued_[1].empty();
  const PriorityClassQueue &Class = Queued_[index(Added.Urgency_)];
  // A service that is shared from now on may have calls in both orders.
  const QueuedCall Shed = !Shared_.empty()     ? Shared_.last()
                          : IsInFavourOfUrgent ? Queued_[1].last()
                                               : Class.lastOf(Added.Priority_);
  remove(Shed);
  return Shed;
}

std::optional<CallId> ServiceQueue::next() const {
  const auto &Urgent = Queued_[0];
  const auto &Ordinary = Queued_[1];
  const bool HasUrgent = !Urgent.empty() && mayStart(Urgency::Urgent);
  const bool HasOrdinary = !Ordinary.empty() && mayStart(Urgency::Ordinary);
  if (!HasUrgent && !HasOrdinary) {
    const QueuedCall *First =
        Shared_.first(mayStart(Urgency::Urgent), mayStart(Urgency::Ordinary));
    return First ? std::optional(First->Call_) : std::nullopt;
  }
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
  eraseDeadline(Call);
  return Queued_[index(Call.Urgency_)].erase(Call) || Shared_.erase(Call);
}

void ServiceQueue::eraseDeadline(const QueuedCall &Call) {
  const auto Found = Deadlines_.find(Call);
  if (Found != Deadlines_.end())
    Deadlines_.erase(Found);
}

void ServiceQueue::takeExpired(Instant Now, std::vector<QueuedCall> &Output) {
  for (PriorityClassQueue &Class : Queued_)
    Class.demoteLate(Now);
  Shared_.demoteLate(Now);
  while (!Deadlines_.empty() && latestStart(*Deadlines_.begin()) <=
                                    Now + unknownRunTime(*Deadlines_.begin())) {
    Output.push_back(*Deadlines_.begin());
    remove(Output.back());
  }
  takeUnservable(Urgency::Urgent, Now, Output);
  takeUnservable(Urgency::Ordinary, Now, Output);
  takeUnservableKinds(Now, Output);
}

void ServiceQueue::recordStarted(const QueuedCall &Call, Instant Now) {
  const bool IsUrgent = Call.Urgency_ == Urgency::Urgent;
  eraseDeadline(Call);
  PriorityClassQueue &Class = Queued_[index(Call.Urgency_)];
  if (Class.empty() || !Class.eraseStarted(Call))
    Shared_.eraseStarted(Call);
  ++Running_[index(Call.Urgency_)];
  recordStartInterval(Now);
  ConsecutiveUrgentStarts_ = IsUrgent ? ConsecutiveUrgentStarts_ + 1 : 0;
}

void ServiceQueue::recordEnded(Urgency Urgency) {
  auto &Running = Running_[index(Urgency)];
  Running -= std::min(Running, 1U);
}

bool ServiceQueue::isAtLimit() const { return !mayStart(Urgency::Ordinary); }

bool ServiceQueue::isEmpty() const { return size() == 0; }

std::size_t ServiceQueue::size() const {
  return Queued_[0].size() + Queued_[1].size() + Shared_.size();
}

std::size_t ServiceQueue::queueLength(Urgency Urgency) const {
  return Queued_[index(Urgency)].size() + Shared_.size(Urgency);
}

std::uint32_t ServiceQueue::running() const {
  return Running_[0] + Running_[1];
}

std::optional<Instant> ServiceQueue::nextExpiry() const {
  if (Deadlines_.empty())
    return std::nullopt;
  return latestStart(*Deadlines_.begin()) - unknownRunTime(*Deadlines_.begin());
}

bool ServiceQueue::mayStart(Urgency Urgency) const {
  if (running() >= Limit_.limit(Urgency::Urgent))
    return false;
  return Urgency == Urgency::Urgent ||
         Running_[1] < Limit_.limit(Urgency::Ordinary);
}

double ServiceQueue::recordOffered(const QueuedCall &Call, Instant Now) {
  if (!Call.Workspace_ && Weights_.empty())
    return 1;
  return Weights_.recordCall(Call.Workspace_, Now);
}

std::size_t ServiceQueue::countBefore(const QueuedCall &Call, double Cost,
                                      bool IsByKind) const {
  if (IsByKind)
    return Queued_[0].size() + Queued_[1].size() +
           Shared_.countBefore(Call, Cost);
  if (Call.Urgency_ == Urgency::Urgent)
    return Queued_[0].countBefore(Call, Cost);
  return Queued_[0].size() + Queued_[1].countBefore(Call, Cost);
}

Duration ServiceQueue::expectedWait(const QueuedCall &Call, double Cost,
                                    bool IsByKind, Instant Now) const {
  const std::size_t CallsAhead = countBefore(Call, Cost, IsByKind);
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
  return startInterval(Now) * static_cast<Duration::rep>(size());
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

void ServiceQueue::takeUnservableKinds(Instant Now,
                                       std::vector<QueuedCall> &Output) {
  if (StartInterval_ == Duration::zero() ||
      Now - CheckedKindsAt_ < MinCheckInterval)
    return;
  CheckedKindsAt_ = Now;
  const Duration Interval = startInterval(Now);
  const auto IsUnservable = [&](const QueuedCall &Call,
                                std::size_t CallsAhead) {
    const Duration Wait = Interval * static_cast<Duration::rep>(CallsAhead);
    return Now + Wait + expectedRunTime(Call) > Call.Deadline_;
  };
  while (const QueuedCall *Found = Shared_.findLast(IsUnservable)) {
    Output.push_back(*Found);
    remove(Output.back());
  }
}

Duration ServiceQueue::expectedRunTime() const {
  return Limit_.averageLatency();
}

Duration ServiceQueue::expectedRunTime(const QueuedCall &Call) const {
  return Call.ExpectedWork_ > Duration::zero() ? Call.ExpectedWork_
                                               : expectedRunTime();
}

Duration ServiceQueue::unknownRunTime(const QueuedCall &Call) const {
  return expectedRunTime(Call) - Call.ExpectedWork_;
}

} // namespace cranberryspool::admission
