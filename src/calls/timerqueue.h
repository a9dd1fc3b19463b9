#ifndef CRANBERRYSPOOL_CALLS_TIMERQUEUE_H
#define CRANBERRYSPOOL_CALLS_TIMERQUEUE_H

#include "framework/time.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cranberryspool::calls {

/// One point in time for each id, taken in the order of time and then of id.
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

  /// Takes the earliest id whose time has come.
  std::optional<Id> takeDue(framework::Instant Now) {
    if (Order_.empty() || Order_.begin()->first > Now)
      return std::nullopt;
    const Id Owner = Order_.begin()->second;
    clear(Owner);
    return Owner;
  }

  /// Returns the earliest time set, or nothing.
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
