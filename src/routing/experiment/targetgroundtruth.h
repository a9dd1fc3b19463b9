#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_TARGETGROUNDTRUTH_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_TARGETGROUNDTRUTH_H

#include "framework/ids.h"
#include "routing/experiment/simulatedtarget.h"

#include <cstdint>
#include <vector>

namespace cranberryspool::experiment {

/// The true state of all targets, which only the oracle policy may use.
struct TargetGroundTruth {
  std::vector<SimulatedTarget> Targets_;
  /// The number of requests in transit to each target, indexed by target id.
  std::vector<std::uint32_t> InTransit_;

  std::uint32_t outstanding(framework::TargetId Target) const {
    return Targets_[Target.value()].outstanding() + InTransit_[Target.value()];
  }
  std::uint32_t slots(framework::TargetId Target) const {
    return Targets_[Target.value()].slots();
  }
  double speed(framework::TargetId Target) const {
    return Targets_[Target.value()].speed();
  }
};

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_TARGETGROUNDTRUTH_H
