#include "admission/admissionqueue.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::admission {

using framework::CallId;
using framework::Duration;
using framework::Instant;
using framework::ServiceId;
using routing::AttemptResult;
using routing::ServiceLoad;

namespace {

constexpr Duration UnknownServiceRetryAfter = std::chrono::seconds(1);

bool isSignOfOverload(AttemptResult Result, ServiceLoad Load) {
  if (Load == ServiceLoad::Low)
    return false;
  if (Result == AttemptResult::NotRun || Result == AttemptResult::TimedOut)
    return true;
  // Some targets reset the connections of requests that they have no room for.
  return Result == AttemptResult::ConnectionFailed &&
         Load != ServiceLoad::Unknown;
}

/// The run time beyond which an estimate is not believed.
constexpr Duration MaxExpectedWork = std::chrono::minutes(10);

/// Limits values that make no sense, and drops those that the order of before
/// does not use.
QueuedCall normalized(QueuedCall Call, const AdmissionSettings &Settings) {
  if (Settings.LoadShedding_ == scheduling::LoadSheddingMode::Off) {
    Call.ExpectedWork_ = Duration::zero();
    return Call;
  }
  Call.Objective_ = std::max(Call.Objective_, Duration::zero());
  Call.ExpectedWork_ =
      std::clamp(Call.ExpectedWork_, Duration::zero(), MaxExpectedWork);
  return Call;
}

} // namespace

void AdmissionQueue::setCapacity(ServiceId Service, ServiceCapacity Capacity) {
  Services_.try_emplace(Service, Settings_)
      .first->second.limit()
      .setCapacity(Capacity);
}

void AdmissionQueue::setShare(ServiceId Service,
                              std::optional<std::uint32_t> Share) {
  const auto Found = Services_.find(Service);
  if (Found != Services_.end())
    Found->second.limit().setShare(Share);
}

std::size_t AdmissionQueue::demand(ServiceId Service) const {
  const auto Found = Services_.find(Service);
  if (Found == Services_.end())
    return 0;
  const ServiceQueue &Queue = Found->second;
  return Queue.running() + Queue.queueLength(document::Urgency::Urgent) +
         Queue.queueLength(document::Urgency::Ordinary);
}

framework::Result<void, Refusal>
AdmissionQueue::offer(const QueuedCall &Offered, Instant Now) {
  const auto Found = Services_.find(Offered.Service_);
  if (Found == Services_.end())
    return Refusal{RefusalReason::UnknownService, UnknownServiceRetryAfter};
  ServiceQueue &Queue = Found->second;
  const QueuedCall Call = normalized(Offered, Settings_);
  BOOST_OUTCOME_TRYV(Queue.offer(Call, Now));
  QueuedCalls_.emplace(Call.Call_, Call);
  if (const auto ShedCall = Queue.shedFor(Call)) {
    QueuedCalls_.erase(ShedCall->Call_);
    ShedCalls_.push_back(ShedCall->Call_);
  }
  return framework::success();
}

std::optional<CallId> AdmissionQueue::next(ServiceId Service, Instant) const {
  const auto Found = Services_.find(Service);
  return Found == Services_.end() ? std::nullopt : Found->second.next();
}

bool AdmissionQueue::remove(CallId Call) {
  const auto Found = QueuedCalls_.find(Call);
  if (Found == QueuedCalls_.end())
    return false;
  Services_.at(Found->second.Service_).remove(Found->second);
  QueuedCalls_.erase(Found);
  return true;
}

std::vector<CallId> AdmissionQueue::takeExpired(Instant Now) {
  std::vector<CallId> Removed = std::exchange(ShedCalls_, {});
  std::vector<QueuedCall> Expired;
  for (auto &[Service, Queue] : Services_)
    Queue.takeExpired(Now, Expired);
  for (const QueuedCall &Call : Expired) {
    QueuedCalls_.erase(Call.Call_);
    Removed.push_back(Call.Call_);
  }
  return Removed;
}

void AdmissionQueue::recordStarted(CallId Call, Instant Now) {
  const auto Found = QueuedCalls_.find(Call);
  if (Found == QueuedCalls_.end())
    return;
  Services_.at(Found->second.Service_).recordStarted(Found->second, Now);
  QueuedCalls_.erase(Found);
}

void AdmissionQueue::recordEnded(ServiceId Service, document::Urgency Urgency,
                                 AttemptResult Result, Duration Elapsed,
                                 ServiceLoad Load, Instant Now) {
  const auto Found = Services_.find(Service);
  if (Found == Services_.end())
    return;
  ServiceQueue &Queue = Found->second;
  const bool WasAtLimit = Queue.isAtLimit();
  Queue.recordEnded(Urgency);
  if (Result == AttemptResult::Answered)
    Queue.limit().recordAnswered(Elapsed, WasAtLimit, Load, Now);
  if (isSignOfOverload(Result, Load))
    Queue.limit().recordOverload(Now);
}

std::vector<ServiceId> AdmissionQueue::startableServices() const {
  std::vector<ServiceId> Found;
  for (const auto &[Service, Queue] : Services_)
    if (Queue.next())
      Found.push_back(Service);
  return Found;
}

std::size_t AdmissionQueue::queueLength(ServiceId Service,
                                        document::Urgency Urgency) const {
  const auto Found = Services_.find(Service);
  return Found == Services_.end() ? 0 : Found->second.queueLength(Urgency);
}

Duration AdmissionQueue::drainTime(ServiceId Service, Instant Now) const {
  const auto Found = Services_.find(Service);
  return Found == Services_.end() ? Duration::zero()
                                  : Found->second.drainTime(Now);
}

bool AdmissionQueue::hasQueuedCalls(ServiceId Service) const {
  const auto Found = Services_.find(Service);
  return Found != Services_.end() && !Found->second.isEmpty();
}

Instant AdmissionQueue::nextWakeUp() const {
  Instant Earliest = ShedCalls_.empty() ? Instant::max() : Instant{};
  for (const auto &[Service, Queue] : Services_)
    if (const auto Expiry = Queue.nextExpiry())
      Earliest = std::min(Earliest, *Expiry);
  return Earliest;
}

} // namespace cranberryspool::admission
