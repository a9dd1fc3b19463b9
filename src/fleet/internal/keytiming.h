#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_KEYTIMING_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_KEYTIMING_H

#include "framework/time.h"

#include <cstddef>

namespace cranberryspool::fleet {

/// How long a key is accepted, and its record kept, after its creation time.
inline constexpr framework::Duration KeyLifetime = std::chrono::minutes(2);

/// The largest assumed difference between the wall clocks of two instances, and
/// how far a caller's clock may be ahead.
inline constexpr framework::Duration KeyClockSkew = std::chrono::seconds(1);

/// The age above which a peer's acknowledgement does not count towards a
/// majority.
inline constexpr framework::Duration MajorityWindow = std::chrono::seconds(3);

/// The majority window grows by this much per instance, because the number of
/// heartbeats per round does not grow with the fleet.
inline constexpr framework::Duration MajorityWindowPerInstance =
    std::chrono::milliseconds(150);

/// The time in which key owners agree on new members and hand over their keys.
/// Until then, a request that cannot be decided yet is not refused.
inline constexpr framework::Duration KeyConvergenceTime =
    std::chrono::seconds(1);

/// The largest number of keys that one instance keeps.
inline constexpr std::size_t MaxKeys = 65'536;

/// Returns the majority window for a fleet of the given size.
constexpr framework::Duration majorityWindow(std::size_t FleetSize) {
  const auto Scaled = MajorityWindowPerInstance *
                      static_cast<framework::Duration::rep>(FleetSize);
  return Scaled > MajorityWindow ? Scaled : MajorityWindow;
}

/// Returns how long a new owner waits if it does not receive the previous
/// owner's records. By then the previous owner has found out that it no longer
/// owns the keys.
constexpr framework::Duration keyTakeoverWait(std::size_t FleetSize) {
  return 2 * majorityWindow(FleetSize) + std::chrono::milliseconds(500);
}

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_KEYTIMING_H
