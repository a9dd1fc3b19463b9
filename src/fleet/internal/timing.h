#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_TIMING_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_TIMING_H

#include "framework/time.h"

namespace cranberryspool::fleet {

/// How long the platform may hold a watch back. A watch that ends unchanged
/// confirms the view.
inline constexpr framework::Duration WatchWait = std::chrono::milliseconds(500);

/// The same when the view is old, so that it is confirmed soon.
inline constexpr framework::Duration ShortWatchWait =
    std::chrono::milliseconds(1);

/// The pause after a failed read.
inline constexpr framework::Duration ReadRetry = std::chrono::milliseconds(500);

/// Nothing new is sent to targets on a view confirmed longer ago than this.
inline constexpr framework::Duration FreshBound =
    std::chrono::milliseconds(2500);

/// Above this age of its confirmation an instance looks for another source.
inline constexpr framework::Duration SuspicionAge =
    std::chrono::milliseconds(1200);

/// By this age of the confirmation every instance reads the platform itself.
inline constexpr framework::Duration WideningEnd =
    std::chrono::milliseconds(2000);

/// The longest time between two ticks.
inline constexpr framework::Duration TickInterval =
    std::chrono::milliseconds(100);

/// The time between two rounds of heartbeats.
inline constexpr framework::Duration HeartbeatInterval =
    std::chrono::milliseconds(500);

/// The same while the instance looks for another source of confirmation.
inline constexpr framework::Duration UrgentHeartbeatInterval =
    std::chrono::milliseconds(250);

/// The same after a change of the members, so that homes settle soon.
inline constexpr framework::Duration SettlingHeartbeatInterval =
    std::chrono::milliseconds(100);

/// A new home of a target waits for this long before it sends anything: more
/// than twice `FreshBound`, so that the home before has stopped even when one
/// of both missed a revision of the list.
inline constexpr framework::Duration TakeoverWait =
    std::chrono::milliseconds(5500);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_TIMING_H
