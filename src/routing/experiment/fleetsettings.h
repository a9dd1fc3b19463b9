#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_FLEETSETTINGS_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_FLEETSETTINGS_H

#include "framework/time.h"

#include <cstddef>
#include <cstdint>

namespace cranberryspool::experiment {

/// How the instances of a virtual run work.
struct FleetSettings {
  std::uint64_t Seed_ = 1;
  /// False lifts the limits of admission, so that each call is sent at once.
  bool HasLimits_ = true;
  /// How often the instances tell each other their attempts in flight; zero for
  /// never.
  framework::Duration ShareInterval_{};
  framework::Duration ReportLag_ = std::chrono::milliseconds(100);
  std::size_t MaxQueueOfTarget_ = 64;
  /// Calls that arrive in this time after the start are not measured.
  framework::Duration Warmup_ = std::chrono::seconds(1);
};

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_FLEETSETTINGS_H
