#ifndef CRANBERRYSPOOL_SCHEDULING_STARTTIMEFAIRQUEUE_H
#define CRANBERRYSPOOL_SCHEDULING_STARTTIMEFAIRQUEUE_H

#include "scheduling/types/flowid.h"

#include <cstddef>
#include <vector>

namespace cranberryspool::scheduling {

/// Start-time fair queueing (Goyal, Vin, Cheng 1996) among flows whose queued
/// calls are of equal priority.
///
/// A flow has a tag: the virtual time at which its next call is due. The flow
/// with the lowest tag is next; each start raises its tag by the cost of one
/// call, which is the inverse of the flow's weight. A flow that had no queued
/// calls continues at the present virtual time, so that it gets no credit for
/// the past. Within a flow any order is possible, because tags belong to turns
/// and not to calls. Only numbers of calls are held here, not the calls.
///
/// Calls are timely or late, as their latency objective can still be met or
/// not. A late call has its turn when no flow has timely ones, or when its flow
/// has fallen behind so far that it would get less than a quarter of its share.
class StartTimeFairQueue {
public:
  /// Adds a timely call. The cost applies to the flow from now on; it must be
  /// positive and finite.
  void add(FlowId Flow, double Cost);
  /// Counts one timely call of the flow as late.
  void demote(FlowId Flow);
  /// Removes a call that does not start.
  void remove(FlowId Flow, bool IsLate);
  /// Removes a call that starts, and charges the flow for it.
  void recordStarted(FlowId Flow, bool IsLate);

  std::size_t timelyCalls() const { return TimelyCalls_; }
  std::size_t lateCalls() const { return LateCalls_; }
  /// Returns the number of flows for which memory is held.
  std::size_t flowsHeld() const { return Flows_.size(); }

  /// The flow whose call starts next, and which of its calls is meant.
  struct Turn {
    FlowId Flow_;
    bool IsLate_ = false;

    friend bool operator==(const Turn &, const Turn &) = default;
  };
  /// Returns the next turn. The queue must not be empty.
  Turn next() const;
  /// Returns the flow whose last call is due last, which has sent most beyond
  /// its share. The queue must not be empty.
  FlowId furthestOverShare() const;
  /// Returns whether `furthestOverShare` would be this flow if one more of its
  /// calls were queued.
  bool wouldBeFurthestOverShare(FlowId Flow, double Cost) const;
  /// Returns the number of timely calls of all flows that start before a new
  /// timely call of the flow that has `OwnCallsAhead` timely ones of its own
  /// before it.
  std::size_t countBefore(FlowId Flow, double Cost,
                          std::size_t OwnCallsAhead) const;

private:
  struct FlowState {
    FlowId Flow_;
    double Tag_ = 0;
    double Cost_ = 1;
    std::size_t Timely_ = 0;
    std::size_t Late_ = 0;

    std::size_t size() const { return Timely_ + Late_; }
    /// The virtual time at which the call after the last queued one is due.
    double finishTag() const {
      return Tag_ + Cost_ * static_cast<double>(size());
    }
  };

  const FlowState *find(FlowId Flow) const;
  FlowState &state(FlowId Flow);
  bool isOverdue(const FlowState &State) const;
  void countRemoved(FlowState &State, bool IsLate);

  /// Ordered by flow. Flows without queued calls are kept until room is needed.
  std::vector<FlowState> Flows_;
  std::size_t TimelyCalls_ = 0;
  std::size_t LateCalls_ = 0;
  double VirtualTime_ = 0;
  double HighestTag_ = 0;
};

} // namespace cranberryspool::scheduling

#endif // CRANBERRYSPOOL_SCHEDULING_STARTTIMEFAIRQUEUE_H
