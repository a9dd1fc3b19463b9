#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_SIMULATIONSETTINGS_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_SIMULATIONSETTINGS_H

#include "framework/time.h"

#include <cstddef>
#include <cstdint>

namespace cranberryspool::experiment {

/// The parameters of the simulated instances and targets.
struct SimulationSettings {
  std::uint64_t Seed_ = 1;
  /// False disables the limits of admission, so that each call is sent at once.
  bool HasLimits_ = true;
  /// The interval at which the instances exchange their attempts in flight;
  /// zero for never.
  framework::Duration PeerUpdateInterval_{};
  framework::Duration ReportLag_ = std::chrono::milliseconds(100);
  std::size_t MaxTargetQueue_ = 64;
  /// Calls that arrive within this time after the start are not measured.
  framework::Duration Warmup_ = std::chrono::seconds(1);
};

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_SIMULATIONSETTINGS_H
