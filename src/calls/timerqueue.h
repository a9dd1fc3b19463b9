#ifndef CRANBERRYSPOOL_CALLS_TIMERQUEUE_H
#define CRANBERRYSPOOL_CALLS_TIMERQUEUE_H

#include "framework/time.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cranberryspool::calls {

/// At most one timer per id. Due timers are taken in the order of their time,
/// then of their id.
template <typename Id> class TimerQueue {
public:
  /// Sets or moves the timer of an id.
  void set(Id Owner, framework::Instant When) {
    clear(Owner);
    Times_.emplace(Owner, When);
    Order_.emplace(When, Owner);
  }

  void clear(Id Owner) {
    const auto Position = Times_.find(Owner);
    if (Position == Times_.end())
      return;
    Order_.erase({Position->second, Owner});
    Times_.erase(Position);
  }

  /// Removes the earliest timer that is due and returns its id.
  std::optional<Id> takeDue(framework::Instant Now) {
    if (Order_.empty() || Order_.begin()->first > Now)
      return std::nullopt;
    const Id Owner = Order_.begin()->second;
    clear(Owner);
    return Owner;
  }

  /// Returns the time of the earliest timer, or nothing when there is none.
  std::optional<framework::Instant> next() const {
    if (Order_.empty())
      return std::nullopt;
    return Order_.begin()->first;
  }

private:
  std::map<Id, framework::Instant> Times_;
  std::set<std::pair<framework::Instant, Id>> Order_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TIMERQUEUE_H
