#ifndef CRANBERRYSPOOL_ADMISSION_INTERNAL_SERVICEQUEUE_H
#define CRANBERRYSPOOL_ADMISSION_INTERNAL_SERVICEQUEUE_H

#include "admission/internal/concurrencylimit.h"
#include "admission/internal/priorityclassqueue.h"
#include "admission/internal/sharedserviceorder.h"
#include "admission/types/admissionsettings.h"
#include "admission/types/queuedcall.h"
#include "admission/types/refusal.h"
#include "framework/result.h"
#include "scheduling/loadweights.h"

#include <array>
#include <cstddef>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace cranberryspool::admission {

/// The queued calls of one service and its concurrency limit. Urgent calls have
/// priority, but an ordinary call that has waited much longer gets every fourth
/// start. Where kinds with different priorities or objectives share a service
/// and the settings say so, `SharedServiceOrder` holds the calls instead.
class ServiceQueue {
public:
  explicit ServiceQueue(AdmissionSettings Settings) : Settings_(Settings) {}

  framework::Result<void, Refusal> offer(const QueuedCall &Call,
                                         framework::Instant Now);

  /// Returns the call to start next, or nothing when none is queued or the
  /// limit is reached.
  std::optional<framework::CallId> next() const;

  /// Removes a queued call. Returns false when it is not queued.
  bool remove(const QueuedCall &Call);

  /// Removes the calls that can no longer be answered in time, or that will not
  /// start in time at the present rate, and appends them to `Output`.
  void takeExpired(framework::Instant Now, std::vector<QueuedCall> &Output);

  /// Removes and returns a call when the queue is longer than allowed because
  /// the given one was added: the last ordinary one in favour of an urgent one,
  /// otherwise the last one of the workspace that has sent most beyond its
  /// share at the same priority.
  std::optional<QueuedCall> shedFor(const QueuedCall &Added);

  /// Removes a queued call because it starts.
  void recordStarted(const QueuedCall &Call, framework::Instant Now);
  void recordEnded(document::Urgency Urgency);

  ConcurrencyLimit &limit() { return Limit_; }
  bool isAtLimit() const;
  bool isEmpty() const;
  std::size_t queueLength(document::Urgency Urgency) const;
  std::uint32_t running() const;
  /// Returns the time after which the calls that are queued now have started.
  framework::Duration drainTime(framework::Instant Now) const;

  /// Returns the time at which the next queued call expires.
  std::optional<framework::Instant> nextExpiry() const;

private:
  /// Returns when the call must start to be answered by its deadline, as far as
  /// its own run time is known.
  static framework::Instant latestStart(const QueuedCall &Call) {
    return Call.Deadline_ - Call.ExpectedWork_;
  }
  struct ByDeadline {
    bool operator()(const QueuedCall &Left, const QueuedCall &Right) const {
      return std::tuple(latestStart(Left), Left.Call_) <
             std::tuple(latestStart(Right), Right.Call_);
    }
  };

  static std::size_t index(document::Urgency Urgency) {
    return Urgency == document::Urgency::Urgent ? 0 : 1;
  }
  bool mayStart(document::Urgency Urgency) const;
  /// Returns how long the call would wait if it were queued now.
  framework::Duration expectedWait(const QueuedCall &Call, double Cost,
                                   bool IsByKind, framework::Instant Now) const;
  std::size_t countBefore(const QueuedCall &Call, double Cost,
                          bool IsByKind) const;
  std::size_t size() const;
  /// Returns whether a call that is queued is refused rather than this one when
  /// the queue is full.
  bool canShedFor(const QueuedCall &Call, double Cost, bool IsByKind) const;
  /// Returns the cost of one call of the workspace of the given one, which is
  /// offered now; 1 as long as no call has a workspace.
  double recordOffered(const QueuedCall &Call, framework::Instant Now);
  /// Returns the time between two starts while calls are waiting.
  framework::Duration startInterval(framework::Instant Now) const;
  void recordStartInterval(framework::Instant Now);
  /// Removes the calls at the end of a class that will not start in time.
  void takeUnservable(document::Urgency Urgency, framework::Instant Now,
                      std::vector<QueuedCall> &Output);
  void takeUnservableKinds(framework::Instant Now,
                           std::vector<QueuedCall> &Output);
  void eraseDeadline(const QueuedCall &Call);
  framework::Duration expectedRunTime() const;
  /// The run time of the call, or that of all calls when its own is unknown.
  framework::Duration expectedRunTime(const QueuedCall &Call) const;
  /// The part of the run time that `latestStart` does not contain.
  framework::Duration unknownRunTime(const QueuedCall &Call) const;

  AdmissionSettings Settings_;
  ConcurrencyLimit Limit_;
  std::array<PriorityClassQueue, 2> Queued_;
  SharedServiceOrder Shared_;
  scheduling::LoadWeights Weights_;
  std::set<QueuedCall, ByDeadline> Deadlines_;
  std::array<std::uint32_t, 2> Running_{};
  std::uint32_t ConsecutiveUrgentStarts_ = 0;
  /// When a call started last while others were waiting, and the moving average
  /// of the times between such starts.
  framework::Instant LastStartAt_{};
  framework::Duration StartInterval_{};
  framework::Instant CheckedKindsAt_{};
};

} // namespace cranberryspool::admission

#endif // CRANBERRYSPOOL_ADMISSION_INTERNAL_SERVICEQUEUE_H
