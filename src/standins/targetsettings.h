#ifndef CRANBERRYSPOOL_STANDINS_TARGETSETTINGS_H
#define CRANBERRYSPOOL_STANDINS_TARGETSETTINGS_H

#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <string>

namespace cranberryspool::standins {

/// The identity, capacity and timing of a target without injected faults.
struct TargetSettings {
  framework::InstanceName Name_;
  framework::GroupName Group_;
  framework::ZoneName Zone_;
  /// `IP:port` at which the target accepts requests.
  std::string Address_;
  /// The number of requests that run at the same time.
  std::uint32_t Slots_ = 1;
  std::uint32_t ConnectionLimit_ = 250;
  /// The maximum number of requests that wait for a slot. Further requests are
  /// answered as not run.
  std::uint32_t QueueLimit_ = 50;
  framework::Duration MeanServiceTime_{};
  framework::Duration ConnectionSetupTime_{};
  /// The time for which a load probe occupies a slot.
  framework::Duration ProbeTime_{};
  /// The number of requests in flight above which a cold target is overloaded.
  std::uint32_t ColdInFlight_ = 1;
  /// The time after a restart for which the target is cold.
  framework::Duration Warmup_{};
  /// The age of the load data in the load reports.
  framework::Duration ReportLag_{};
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_TARGETSETTINGS_H
