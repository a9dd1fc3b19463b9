#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_WORKLOAD_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_WORKLOAD_H

#include "document/types/urgency.h"
#include "framework/time.h"
#include "routing/experiment/deployment.h"

#include <cstdint>
#include <vector>

namespace cranberryspool::experiment {

/// The calls of a simulation and the speed changes of its targets. They depend
/// only on the seed, so that all policies are compared on the same workload.
struct Workload {
  struct Arrival {
    framework::Instant At_{};
    std::uint32_t Service_ = 0;
    std::uint32_t Instance_ = 0;
    document::Urgency Urgency_ = document::Urgency::Ordinary;
    framework::Duration Work_{};
  };
  struct SpeedChange {
    framework::Instant At_{};
    std::uint32_t Target_ = 0;
    double Speed_ = 1;
  };

  std::vector<Arrival> Arrivals_;
  std::vector<SpeedChange> SpeedChanges_;
};

/// The parameters from which a workload is generated.
struct WorkloadSettings {
  /// The offered work as a fraction of the capacity of all slots at full speed.
  double Load_ = 0.7;
  /// The period, relative to the start, in which the load is `BurstLoad_`.
  framework::Duration BurstFrom_{};
  framework::Duration BurstUntil_{};
  double BurstLoad_ = 0;
  framework::Duration Length_ = std::chrono::seconds(20);
  /// The fraction of targets that are slow at any time.
  double SlowShare_ = 0.1;
  /// The fraction of the mean work that all requests have in common; the rest
  /// is distributed exponentially.
  double ConstantShareOfWork_ = 0.5;
  /// A factor on the mean work of each service.
  double WorkScale_ = 1;
};

/// Returns the virtual time at which simulations start.
framework::Instant startOfRun();

Workload makeWorkload(const Deployment &Fleet, const WorkloadSettings &Settings,
                      std::uint64_t Seed);

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_WORKLOAD_H
