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

/// The waiting calls of one service and its limit. Urgent calls go first; an
/// ordinary one that has waited much longer gets every fourth start.
class ServiceQueue {
public:
  framework::Result<void, Refusal> offer(const QueuedCall &Call,
                                         framework::Instant Now);

  /// The call to start next, or nothing when none waits or the limit is met.
  std::optional<framework::CallId> next() const;

  /// Takes a waiting call out; returns false when it does not wait.
  bool remove(const QueuedCall &Call);

  /// Moves the calls that can no longer be answered in time to `Output`.
  void takeExpired(framework::Instant Now, std::vector<QueuedCall> &Output);

  /// Moves the call that gives way to a new urgent one to the result.
  std::optional<QueuedCall> shedOrdinary();

  /// Takes a waiting call out because it starts.
  void recordStarted(const QueuedCall &Call, framework::Instant Now);
  void recordEnded(document::Urgency Urgency);

  ConcurrencyLimit &limit() { return Limit_; }
  bool isAtLimit() const;
  bool isEmpty() const;
  std::size_t waiting(document::Urgency Urgency) const;
  std::uint32_t running() const;

  /// The time at which the next waiting call expires.
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
  framework::Duration timeToRun() const;

  ConcurrencyLimit Limit_;
  std::array<std::set<QueuedCall, ByArrival>, 2> Waiting_;
  std::set<QueuedCall, ByDeadline> Deadlines_;
  std::array<std::uint32_t, 2> Running_{};
  /// How long the call that started last had waited.
  std::array<framework::Duration, 2> LastWait_{};
  std::uint32_t UrgentInRow_ = 0;
};

} // namespace cranberryspool::admission

#endif // CRANBERRYSPOOL_ADMISSION_INTERNAL_SERVICEQUEUE_H
