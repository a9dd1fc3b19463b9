#ifndef CRANBERRYSPOOL_ADMISSION_INTERNAL_SHAREDSERVICEORDER_H
#define CRANBERRYSPOOL_ADMISSION_INTERNAL_SHAREDSERVICEORDER_H

#include "admission/internal/priorityclassqueue.h"
#include "admission/types/queuedcall.h"
#include "scheduling/kindschedule.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>

namespace cranberryspool::admission {

/// The queued calls of a service that kinds with different priorities or
/// objectives share. `KindSchedule` decides which kind is next; within a kind
/// the order is that of `PriorityClassQueue`.
class SharedServiceOrder {
public:
  /// Records that the call was offered. Returns whether the service is shared.
  bool recordOffered(const QueuedCall &Call, framework::Instant Now);

  void insert(const QueuedCall &Call, double WorkspaceCost);
  /// Removes a call that does not start. Returns false when it is not queued.
  bool erase(const QueuedCall &Call);
  /// Removes a call that starts, and charges its kind and workspace for it.
  void eraseStarted(const QueuedCall &Call);
  void demoteLate(framework::Instant Now);

  /// Returns the call that starts next among the urgency classes that may
  /// start, or null when there is none.
  const QueuedCall *first(bool MayUrgentStart, bool MayOrdinaryStart) const;
  /// Returns the call to refuse first. The queue must not be empty.
  const QueuedCall &last() const;
  /// Returns whether a call that is queued would be refused before this one.
  bool hasCallOverShare(const QueuedCall &Call, double WorkspaceCost) const;
  /// Returns the number of calls that start before the given one.
  std::size_t countBefore(const QueuedCall &Call, double WorkspaceCost) const;

  /// Returns the last call of a kind for which
  /// `IsUnservable(Call, CallsAhead)` holds, or null when there is none.
  template <typename Predicate>
  const QueuedCall *findLast(const Predicate &IsUnservable) const {
    for (const auto &[Key, Calls] : Kinds_) {
      if (Calls.empty())
        continue;
      const QueuedCall &Last = Calls.last();
      if (IsUnservable(Last, Schedule_.countBefore(Key, Calls.size() - 1)))
        return &Last;
    }
    return nullptr;
  }

  bool empty() const { return size() == 0; }
  std::size_t size() const { return Lengths_[0] + Lengths_[1]; }
  std::size_t size(document::Urgency Urgency) const {
    return Lengths_[index(Urgency)];
  }

private:
  static std::size_t index(document::Urgency Urgency) {
    return Urgency == document::Urgency::Urgent ? 0 : 1;
  }
  static scheduling::KindKey key(const QueuedCall &Call);

  scheduling::KindSchedule Schedule_;
  /// Ordered by rank. The kinds and priorities are those of routes and
  /// workspaces, so their number is small; they are kept.
  std::map<scheduling::KindKey, PriorityClassQueue> Kinds_;
  std::array<std::size_t, 2> Lengths_{};
};

} // namespace cranberryspool::admission

#endif // CRANBERRYSPOOL_ADMISSION_INTERNAL_SHAREDSERVICEORDER_H
