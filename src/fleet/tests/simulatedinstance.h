#ifndef CRANBERRYSPOOL_FLEET_TESTS_SIMULATEDINSTANCE_H
#define CRANBERRYSPOOL_FLEET_TESTS_SIMULATEDINSTANCE_H

#include "fleet/fleet.h"
#include "fleet/tests/simulatedtraffic.h"
#include "framework/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// One simulated instance and what was observed of it.
struct SimulatedInstance {
  framework::InstanceName Name_;
  framework::ZoneName Zone_;
  std::string Address_;
  framework::Incarnation Incarnation_;
  std::unique_ptr<Fleet> Fleet_;
  /// Identifies the process. Events scheduled for a process that has been
  /// replaced are dropped.
  std::uint64_t Process_ = 0;
  /// The difference between the instance's monotonic clock and simulated time.
  framework::Duration BootOffset_{};
  framework::Duration WallSkew_{};
  bool IsPaused_ = false;
  std::vector<std::function<void()>> DeferredEvents_;
  bool CanReachPlatform_ = true;
  /// Instances in different partitions cannot reach each other.
  int Partition_ = 0;
  framework::Revision HighestRevision_{};
  bool HasRevisionRegressed_ = false;
  SimulatedTraffic Traffic_;
  std::map<framework::CallId, KeyDecided> Decisions_;
  std::set<framework::TargetName> ReportedWarm_;
  std::set<framework::TargetName> ReportedCold_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TESTS_SIMULATEDINSTANCE_H
