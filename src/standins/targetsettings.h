#ifndef CRANBERRYSPOOL_STANDINS_TARGETSETTINGS_H
#define CRANBERRYSPOOL_STANDINS_TARGETSETTINGS_H

#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <string>

namespace cranberryspool::standins {

/// What a target is and how it works when nothing is wrong with it.
struct TargetSettings {
  framework::InstanceName Name_;
  framework::GroupName Group_;
  framework::ZoneName Zone_;
  /// `IP:port` of its requests.
  std::string Address_;
  std::uint32_t Slots_ = 1;
  std::uint32_t ConnectionLimit_ = 250;
  /// Requests that wait for a slot; more are answered as not run.
  std::uint32_t QueueLimit_ = 50;
  framework::Duration MeanServiceTime_{};
  framework::Duration ConnectionSetupTime_{};
  /// A probe keeps a slot busy for this long.
  framework::Duration ProbeTime_{};
  /// Requests in flight that it bears while it is cold.
  std::uint32_t ColdInFlight_ = 1;
  framework::Duration Warmup_{};
  /// Age of the load that its reports tell.
  framework::Duration ReportLag_{};
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_TARGETSETTINGS_H
