#ifndef CRANBERRYSPOOL_ADMISSION_ADMISSIONQUEUE_H
#define CRANBERRYSPOOL_ADMISSION_ADMISSIONQUEUE_H

#include "admission/internal/servicequeue.h"
#include "admission/types/admissionsettings.h"
#include "admission/types/queuedcall.h"
#include "admission/types/refusal.h"
#include "admission/types/servicecapacity.h"
#include "framework/result.h"
#include "routing/types/attemptresult.h"
#include "routing/types/serviceload.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cranberryspool::admission {

/// Decides when an accepted call starts. Services do not affect each other.
/// Within a service urgent calls have priority, ordinary calls are delayed but
/// not starved, and a fraction of the slots is reserved for urgent calls. Among
/// calls of equal priority the workspaces share a service that is short of
/// capacity.
///
/// Usage: call `offer` at arrival. While `next` returns a call, choose a target
/// for it and call `recordStarted`; when there is no target, the call stays
/// queued. Call `recordEnded` when the call's last attempt has ended.
class AdmissionQueue {
public:
  explicit AdmissionQueue(AdmissionSettings Settings = {})
      : Settings_(Settings) {}

  /// Adds a service or changes the capacity of its targets.
  void setCapacity(framework::ServiceId Service, ServiceCapacity Capacity);

  /// Sets the share of the service's slots that limits this instance in place
  /// of its adaptive limit; nothing restores that. Has no effect on an unknown
  /// service.
  void setShare(framework::ServiceId Service,
                std::optional<std::uint32_t> Share);

  /// Returns the number of calls of the service that are in progress or queued.
  std::size_t demand(framework::ServiceId Service) const;

  /// Queues the call. A refused call has not run and is not queued.
  framework::Result<void, Refusal> offer(const QueuedCall &Offered,
                                         framework::Instant Now);

  /// Returns the call to start next, or nothing when none may start. The call
  /// stays queued until `recordStarted` or `remove`.
  std::optional<framework::CallId> next(framework::ServiceId Service,
                                        framework::Instant Now) const;

  /// Removes a queued call whose caller has gone. Returns false when the call
  /// is not queued.
  bool remove(framework::CallId Call);

  /// Removes and returns the calls that can no longer be answered in time, and
  /// those that were shed in favour of others. They have not run.
  std::vector<framework::CallId> takeExpired(framework::Instant Now);

  /// Removes a queued call because its first attempt is sent.
  void recordStarted(framework::CallId Call, framework::Instant Now);

  /// Records the end of a started call. A call that a target rejected or lost
  /// is no sign of overload while the service's load is low.
  void recordEnded(framework::ServiceId Service, document::Urgency Urgency,
                   routing::AttemptResult Result, framework::Duration Elapsed,
                   routing::ServiceLoad Load, framework::Instant Now);

  /// Returns the services for which `next` returns a call, ordered by id.
  std::vector<framework::ServiceId> startableServices() const;

  /// Returns the number of queued calls of the service and urgency.
  std::size_t queueLength(framework::ServiceId Service,
                          document::Urgency Urgency) const;

  /// Returns the time after which the queued calls of the service will have
  /// started at the present rate; zero when none is queued.
  framework::Duration drainTime(framework::ServiceId Service,
                                framework::Instant Now) const;

  /// Returns true when calls of the service are queued, so that retries and
  /// hedges of other calls would delay their first attempts.
  bool hasQueuedCalls(framework::ServiceId Service) const;

  /// Returns the time at which `takeExpired` is due, or `Instant::max()`.
  framework::Instant nextWakeUp() const;

private:
  AdmissionSettings Settings_;
  std::map<framework::ServiceId, ServiceQueue> Services_;
  std::map<framework::CallId, QueuedCall> QueuedCalls_;
  std::vector<framework::CallId> ShedCalls_;
};

} // namespace cranberryspool::admission

#endif // CRANBERRYSPOOL_ADMISSION_ADMISSIONQUEUE_H
