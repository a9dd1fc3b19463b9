#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_KEYTIMING_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_KEYTIMING_H

#include "framework/time.h"

#include <cstddef>

namespace cranberryspool::fleet {

/// A key is known and accepted for this long after its own time.
inline constexpr framework::Duration KeyLifetime = std::chrono::minutes(2);

/// The largest difference between the wall clocks of two instances, and by
/// which a caller's clock may be ahead.
inline constexpr framework::Duration KeyClockSkew = std::chrono::seconds(1);

/// Evidence of a peer older than this does not count towards a majority.
inline constexpr framework::Duration MajorityWindow = std::chrono::seconds(3);

/// The window grows by this for each instance, as the heartbeats do not.
inline constexpr framework::Duration MajorityWindowPerInstance =
    std::chrono::milliseconds(150);

/// After a change of the members, homes settle and hand over within this time;
/// until then a request that cannot be decided yet is not refused.
inline constexpr framework::Duration KeySettlingTime = std::chrono::seconds(1);

/// The most keys that one instance keeps.
inline constexpr std::size_t MaxKeys = 65'536;

/// Returns the window for a fleet of the given size.
constexpr framework::Duration majorityWindow(std::size_t FleetSize) {
  const auto Scaled = MajorityWindowPerInstance *
                      static_cast<framework::Duration::rep>(FleetSize);
  return Scaled > MajorityWindow ? Scaled : MajorityWindow;
}

/// Returns how long a new home waits without the records of the home before:
/// that one has noticed by then that it is not the home any more.
constexpr framework::Duration keyTakeoverWait(std::size_t FleetSize) {
  return 2 * majorityWindow(FleetSize) + std::chrono::milliseconds(500);
}

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_KEYTIMING_H
