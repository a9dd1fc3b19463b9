#ifndef CRANBERRYSPOOL_ADMISSION_INTERNAL_PRIORITYCLASSQUEUE_H
#define CRANBERRYSPOOL_ADMISSION_INTERNAL_PRIORITYCLASSQUEUE_H

#include "admission/types/queuedcall.h"
#include "scheduling/starttimefairqueue.h"
#include "scheduling/types/flowid.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace cranberryspool::admission {

/// The queued calls of one urgency class in the order in which they start.
///
/// Answers the load of a burst that the targets cannot serve in time. Calls
/// that can still meet their latency objective start before those that cannot,
/// and of these the newest first (adaptive LIFO): served in the order of their
/// arrival, all calls of a backlog would wait for nearly their whole objective,
/// and most of them would miss it. Calls that are late already follow in the
/// order of their arrival.
///
/// Calls of equal priority are ordered so within each workspace; the workspaces
/// take turns by start-time fair queueing. Calls without a workspace count as
/// those of one.
class PriorityClassQueue {
public:
  /// Queues a call. The cost is that of one call of its workspace, the inverse
  /// of the workspace's weight.
  void insert(const QueuedCall &Call, double Cost);
  /// Removes a call that does not start. Returns false when it is not queued.
  bool erase(const QueuedCall &Call);
  /// Removes a call that starts, and charges its workspace for it. Returns
  /// false when it is not queued.
  bool eraseStarted(const QueuedCall &Call);

  /// Moves the calls whose latest timely start has passed behind the others.
  void demoteLate(framework::Instant Now);

  bool empty() const { return size() == 0; }
  bool hasTimely() const { return !Timely_.empty(); }
  std::size_t size() const { return Timely_.size() + Late_.size(); }
  /// Returns the call that starts next, and the one to refuse first: of the
  /// lowest priority, the last call of the workspace that has sent most beyond
  /// its share. The queue must not be empty.
  const QueuedCall &first() const;
  const QueuedCall &last() const;
  /// Returns the call to refuse first among those of a priority that is queued.
  const QueuedCall &lastOf(std::uint32_t Priority) const;
  /// Returns whether another workspace has queued more calls of this priority
  /// beyond its share than this one would have with the given call.
  bool hasCallOverShare(const QueuedCall &Call, double Cost) const;
  /// Returns the number of timely calls that start before the given one, which
  /// is timely too. Calls that arrived at the same time are counted.
  std::size_t countBefore(const QueuedCall &Call, double Cost) const;

private:
  /// The calls of one workspace and priority, ordered by priority.
  struct Group {
    explicit Group(std::uint32_t Priority, scheduling::FlowId Flow)
        : Value_(std::uint64_t{Priority} << 32U |
                 (Flow ? Flow->value() + 1 : 0)) {}
    explicit Group(const QueuedCall &Call)
        : Group(Call.Priority_, Call.Workspace_) {}

    friend auto operator<=>(const Group &, const Group &) = default;

    /// A single number, because groups are compared at each step in a set.
    std::uint64_t Value_;
  };
  /// Keeps the calls of a group together.
  struct GroupOrder {
    // The name that the standard library requires for searches by group.
    using is_transparent = void; // NOLINT(readability-identifier-naming)

    bool operator()(const QueuedCall &Left, const Group &Right) const {
      return Group(Left) < Right;
    }
    bool operator()(const Group &Left, const QueuedCall &Right) const {
      return Left < Group(Right);
    }
  };
  /// Within a group by arrival: the earlier one first, but the later one first
  /// among calls with a latency objective that can still be met.
  struct TimelyOrder : GroupOrder {
    using GroupOrder::operator();
    bool operator()(const QueuedCall &Left, const QueuedCall &Right) const {
      const Group LeftGroup(Left);
      const Group RightGroup(Right);
      if (LeftGroup != RightGroup)
        return LeftGroup < RightGroup;
      const bool IsNewestFirst = Left.hasObjective();
      if (IsNewestFirst != Right.hasObjective())
        return IsNewestFirst;
      if (Left.Arrival_ != Right.Arrival_)
        return (Left.Arrival_ < Right.Arrival_) != IsNewestFirst;
      return IsNewestFirst ? Left.Call_ > Right.Call_
                           : Left.Call_ < Right.Call_;
    }
  };
  struct ArrivalOrder : GroupOrder {
    using GroupOrder::operator();
    bool operator()(const QueuedCall &Left, const QueuedCall &Right) const {
      const Group LeftGroup(Left);
      const Group RightGroup(Right);
      if (LeftGroup != RightGroup)
        return LeftGroup < RightGroup;
      return std::tie(Left.Arrival_, Left.Call_) <
             std::tie(Right.Arrival_, Right.Call_);
    }
  };
  struct ByLatestStart {
    bool operator()(const QueuedCall &Left, const QueuedCall &Right) const {
      return std::tie(Left.LatestTimelyStart_, Left.Call_) <
             std::tie(Right.LatestTimelyStart_, Right.Call_);
    }
  };

  using TimelySet = std::set<QueuedCall, TimelyOrder>;

  /// Removes a call from a set. Faster than `erase` of a key, which looks for
  /// the end of a range too.
  template <typename Set>
  static bool eraseFrom(Set &Calls, const QueuedCall &Call) {
    const auto Found = Calls.find(Call);
    if (Found == Calls.end())
      return false;
    Calls.erase(Found);
    return true;
  }
  /// Returns the first call of the group, which must not be empty.
  template <typename Set>
  static const QueuedCall &firstOf(const Set &Calls, Group Of) {
    const QueuedCall &First = *Calls.begin();
    return Group(First) == Of ? First : *Calls.lower_bound(Of);
  }
  /// Returns the number of timely calls that start before the given one, from
  /// `Begin` on.
  std::size_t countFrom(TimelySet::const_iterator Begin,
                        const QueuedCall &Call) const;
  /// Removes the call from its set. Returns whether it was late, or nothing
  /// when it is not queued.
  std::optional<bool> eraseFromSets(const QueuedCall &Call);

  /// Adds the queued calls, of which none has a workspace, to the turns.
  void beginTurns();

  /// False until the first call with a workspace: all calls belong to one group
  /// for each priority, and turns are not counted.
  bool HasTurns_ = false;
  /// The turns of the workspaces by priority. The priorities are those of
  /// routes and workspaces, so their number is small; they are kept.
  std::map<std::uint32_t, scheduling::StartTimeFairQueue> Turns_;
  TimelySet Timely_;
  std::set<QueuedCall, ArrivalOrder> Late_;
  /// The timely calls by their latest timely start.
  std::set<QueuedCall, ByLatestStart> Starts_;
};

} // namespace cranberryspool::admission

#endif // CRANBERRYSPOOL_ADMISSION_INTERNAL_PRIORITYCLASSQUEUE_H
