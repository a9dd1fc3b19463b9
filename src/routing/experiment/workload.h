#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_WORKLOAD_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_WORKLOAD_H

#include "document/types/urgency.h"
#include "framework/time.h"
#include "routing/experiment/deployment.h"

#include <cstdint>
#include <vector>

namespace cranberryspool::experiment {

/// The calls and the slow periods of a run. They depend on the seed alone, so
/// that all policies meet the same ones.
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

/// What to offer.
struct WorkloadSettings {
  /// Offered work as a share of all slots at full speed.
  double Load_ = 0.7;
  /// A time in which the load is `BurstLoad_` instead.
  framework::Duration BurstFrom_{};
  framework::Duration BurstUntil_{};
  double BurstLoad_ = 0;
  framework::Duration Length_ = std::chrono::seconds(20);
  /// The share of targets that are slow at any time.
  double SlowShare_ = 0.1;
  /// The part of a request's mean work that is the same for all; the rest is
  /// distributed exponentially.
  double ConstantShareOfWork_ = 0.5;
  /// Multiplies the mean work of each service.
  double WorkScale_ = 1;
};

/// The time at which runs start.
framework::Instant startOfRun();

Workload makeWorkload(const Deployment &Fleet, const WorkloadSettings &Settings,
                      std::uint64_t Seed);

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_WORKLOAD_H
