#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_TIMING_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_TIMING_H

#include "framework/time.h"

namespace cranberryspool::fleet {

/// How long the platform may delay its response to a watch. A watch that ends
/// without a change confirms the accepted revision.
inline constexpr framework::Duration WatchTimeout =
    std::chrono::milliseconds(500);

/// The watch timeout while a confirmation is overdue, so that the revision is
/// confirmed soon.
inline constexpr framework::Duration ShortWatchTimeout =
    std::chrono::milliseconds(1);

/// The delay after a failed read.
inline constexpr framework::Duration ReadRetryDelay =
    std::chrono::milliseconds(500);

/// No new requests are sent to targets when the published values were last
/// confirmed longer ago than this.
inline constexpr framework::Duration MaxConfirmationAge =
    std::chrono::milliseconds(2500);

/// The age of the last confirmation above which an instance looks for another
/// source of confirmation.
inline constexpr framework::Duration ConfirmationOverdueAge =
    std::chrono::milliseconds(1200);

/// The age of the last confirmation by which every instance reads the platform
/// itself.
inline constexpr framework::Duration AllInstancesReadAge =
    std::chrono::milliseconds(2000);

/// The longest time between two calls of `tick`.
inline constexpr framework::Duration TickInterval =
    std::chrono::milliseconds(100);

/// The time between two rounds of heartbeats.
inline constexpr framework::Duration HeartbeatInterval =
    std::chrono::milliseconds(500);

/// The time between two rounds while a confirmation is overdue.
inline constexpr framework::Duration OverdueHeartbeatInterval =
    std::chrono::milliseconds(250);

/// The time between two rounds after a change of the members, so that the
/// owners of keys are agreed on soon.
inline constexpr framework::Duration ConvergenceHeartbeatInterval =
    std::chrono::milliseconds(100);

/// How long a new owner of a target waits before it sends anything to it: more
/// than twice `MaxConfirmationAge`, so that the previous owner has stopped even
/// if one of the two missed a revision of the list.
inline constexpr framework::Duration TakeoverWait =
    std::chrono::milliseconds(5500);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_TIMING_H
