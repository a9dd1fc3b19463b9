#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_TARGETTRUTH_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_TARGETTRUTH_H

#include "framework/ids.h"
#include "routing/experiment/simulatedtarget.h"

#include <cstdint>
#include <vector>

namespace cranberryspool::experiment {

/// The true state of all targets, which only an oracle may read.
struct TargetTruth {
  std::vector<SimulatedTarget> Targets_;
  /// Requests that are on their way to each target.
  std::vector<std::uint32_t> OnTheWay_;

  std::uint32_t outstanding(framework::TargetId Target) const {
    return Targets_[Target.value()].outstanding() + OnTheWay_[Target.value()];
  }
  std::uint32_t slots(framework::TargetId Target) const {
    return Targets_[Target.value()].slots();
  }
  double speed(framework::TargetId Target) const {
    return Targets_[Target.value()].speed();
  }
};

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_TARGETTRUTH_H
