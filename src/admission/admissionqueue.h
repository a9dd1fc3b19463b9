#ifndef CRANBERRYSPOOL_ADMISSION_ADMISSIONQUEUE_H
#define CRANBERRYSPOOL_ADMISSION_ADMISSIONQUEUE_H

#include "admission/internal/servicequeue.h"
#include "admission/types/queuedcall.h"
#include "admission/types/refusal.h"
#include "admission/types/servicecapacity.h"
#include "framework/result.h"
#include "routing/types/attemptresult.h"

#include <map>
#include <optional>
#include <vector>

namespace cranberryspool::admission {

/// Decides when an accepted call starts. Services do not affect each other.
/// Within one, urgent calls go first, ordinary ones are late but not starved,
/// and a share of the limit is kept for urgent ones.
///
/// The order of use: `offer` at arrival; while `next` names a call, choose a
/// target for it and, when there is one, `recordStarted`; `recordEnded` when
/// the call's last attempt has ended. A call for which no target was found
/// stays.
class AdmissionQueue {
public:
  /// Makes a service known or changes what its targets bear.
  void setCapacity(framework::ServiceId Service, ServiceCapacity Capacity);

  /// Queues the call. A refused call did not run and is not kept.
  framework::Result<void, Refusal> offer(const QueuedCall &Call,
                                         framework::Instant Now);

  /// Returns the call that is to start next, which stays queued until
  /// `recordStarted` or `remove`; nothing when none may start.
  std::optional<framework::CallId> next(framework::ServiceId Service,
                                        framework::Instant Now) const;

  /// Takes a waiting call out: its caller has gone. Returns false when the call
  /// does not wait.
  bool remove(framework::CallId Call);

  /// Takes out the calls that can no longer be answered in time, and those that
  /// gave way to urgent ones. They did not run.
  std::vector<framework::CallId> takeExpired(framework::Instant Now);

  /// Takes a waiting call out because its first attempt is sent.
  void recordStarted(framework::CallId Call, framework::Instant Now);

  /// Takes the end of a started call.
  void recordEnded(framework::ServiceId Service, document::Urgency Urgency,
                   routing::AttemptResult Result, framework::Duration Elapsed,
                   framework::Instant Now);

  /// Returns the services for which `next` names a call, in order of their ids.
  std::vector<framework::ServiceId> startableServices() const;

  /// Returns the number of waiting calls of the service and urgency.
  std::size_t queueLength(framework::ServiceId Service,
                          document::Urgency Urgency) const;

  /// Returns true when calls of the service wait, so that extra attempts of
  /// others would take room from their first ones.
  bool hasQueuedCalls(framework::ServiceId Service) const;

  /// Returns the time at which `takeExpired` is due, or `Instant::max()`.
  framework::Instant nextWakeUp() const;

private:
  std::map<framework::ServiceId, ServiceQueue> Services_;
  std::map<framework::CallId, QueuedCall> Waiting_;
  std::vector<framework::CallId> Shed_;
};

} // namespace cranberryspool::admission

#endif // CRANBERRYSPOOL_ADMISSION_ADMISSIONQUEUE_H
