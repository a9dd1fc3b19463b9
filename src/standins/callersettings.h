#ifndef CRANBERRYSPOOL_STANDINS_CALLERSETTINGS_H
#define CRANBERRYSPOOL_STANDINS_CALLERSETTINGS_H

#include "standins/callerstream.h"
#include "standins/instanceaddress.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::standins {

/// The load that the callers generate, and the instances that they call.
struct CallerSettings {
  std::vector<InstanceAddress> Instances_;
  std::vector<CallerStream> Streams_;
  /// The keys of workspaces. Each call through an instance carries a random one
  /// of them; none does when there are none.
  std::vector<std::string> Keys_;
  /// The seed of the random number generator; also the prefix of call
  /// identifiers.
  std::uint64_t Seed_ = 1;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_CALLERSETTINGS_H
