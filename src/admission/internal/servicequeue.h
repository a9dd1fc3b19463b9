#ifndef CRANBERRYSPOOL_ADMISSION_INTERNAL_SERVICEQUEUE_H
#define CRANBERRYSPOOL_ADMISSION_INTERNAL_SERVICEQUEUE_H

#include "admission/internal/concurrencylimit.h"
#include "admission/types/queuedcall.h"
#include "admission/types/refusal.h"
#include "framework/result.h"

#include <array>
#include <cstddef>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace cranberryspool::admission {

/// The queued calls of one service and its concurrency limit. Urgent calls have
/// priority, but an ordinary call that has waited much longer gets every fourth
/// start.
class ServiceQueue {
public:
  framework::Result<void, Refusal> offer(const QueuedCall &Call,
                                         framework::Instant Now);

  /// Returns the call to start next, or nothing when none is queued or the
  /// limit is reached.
  std::optional<framework::CallId> next() const;

  /// Removes a queued call. Returns false when it is not queued.
  bool remove(const QueuedCall &Call);

  /// Removes the calls that can no longer be answered in time and appends them
  /// to `Output`.
  void takeExpired(framework::Instant Now, std::vector<QueuedCall> &Output);

  /// Removes and returns the newest ordinary call when the queue is longer than
  /// allowed because an urgent call was added.
  std::optional<QueuedCall> shedOrdinary();

  /// Removes a queued call because it starts.
  void recordStarted(const QueuedCall &Call, framework::Instant Now);
  void recordEnded(document::Urgency Urgency);

  ConcurrencyLimit &limit() { return Limit_; }
  bool isAtLimit() const;
  bool isEmpty() const;
  std::size_t queueLength(document::Urgency Urgency) const;
  std::uint32_t running() const;

  /// Returns the time at which the next queued call expires.
  std::optional<framework::Instant> nextExpiry() const;

private:
  struct ByArrival {
    bool operator()(const QueuedCall &Left, const QueuedCall &Right) const {
      return std::tie(Left.Arrival_, Left.Call_) <
             std::tie(Right.Arrival_, Right.Call_);
    }
  };
  struct ByDeadline {
    bool operator()(const QueuedCall &Left, const QueuedCall &Right) const {
      return std::tie(Left.Deadline_, Left.Call_) <
             std::tie(Right.Deadline_, Right.Call_);
    }
  };

  static std::size_t index(document::Urgency Urgency) {
    return Urgency == document::Urgency::Urgent ? 0 : 1;
  }
  bool mayStart(document::Urgency Urgency) const;
  framework::Duration expectedWait(document::Urgency Urgency) const;
  framework::Duration expectedRunTime() const;

  ConcurrencyLimit Limit_;
  std::array<std::set<QueuedCall, ByArrival>, 2> Queued_;
  std::set<QueuedCall, ByDeadline> Deadlines_;
  std::array<std::uint32_t, 2> Running_{};
  /// The queueing time of the call that was started last, indexed by urgency.
  std::array<framework::Duration, 2> LastWaitTime_{};
  std::uint32_t ConsecutiveUrgentStarts_ = 0;
};

} // namespace cranberryspool::admission

#endif // CRANBERRYSPOOL_ADMISSION_INTERNAL_SERVICEQUEUE_H
