#ifndef CRANBERRYSPOOL_ROUTING_POLICIES_REPORTEDLOADPOLICY_H
#define CRANBERRYSPOOL_ROUTING_POLICIES_REPORTEDLOADPOLICY_H

#include "framework/random.h"
#include "framework/time.h"
#include "routing/candidates.h"
#include "routing/policies/affinitypolicy.h"

#include <cstddef>
#include <optional>

namespace cranberryspool::routing {

/// The parameters of the reported-load policy.
struct ReportedLoadSettings {
  AffinitySettings Affinity_;
  /// The age at which the weight of a load report has fallen to one half.
  framework::Duration ReportHalfLife_ = std::chrono::milliseconds(300);
  /// The utilization of the slots that is assumed for a target without a
  /// report.
  double AssumedUtilization_ = 0.5;
  /// Above this utilization of its slots a target is expected to work slower by
  /// the factor `BusySlowdown_`.
  double BusyUtilization_ = 0.8;
  double BusySlowdown_ = 1.3;
  /// The cost added for a target to which a new connection is needed, as a
  /// fraction of the mean response time. Opening a connection takes work of the
  /// target and may occupy one of its slots.
  double NewConnectionCost_ = 0.15;
  /// The cost added for a target in the own availability zone that is not one
  /// of the preferred ones, as a fraction of the mean response time. Where
  /// there are many targets, an instance would otherwise rarely use a
  /// connection twice.
  double NotPreferredCost_ = 0.15;
  /// The increase of costs per unit of ring distance, as a fraction. Instances
  /// with the same reports then prefer different targets.
  double RingDistanceCost_ = 0.2;
  /// The maximum random increase of costs, as a fraction, so that instances
  /// with the same reports do not all select the same target.
  double CostJitter_ = 0.1;
  /// The cost of a target at which a slot of this instance's share is free, as
  /// a fraction of the time that work takes there. It is below that of any
  /// other target of the same speed, since no other instance uses that slot.
  double ShareCost_ = 0.5;
};

/// Selects the candidate with the lowest expected latency, computed from the
/// load and the slowdown that targets report. The weight of a report decreases
/// with its age. The affinity policy provides the expected latency of targets
/// that do not report their slowdown.
class ReportedLoadPolicy {
public:
  explicit ReportedLoadPolicy(ReportedLoadSettings Settings = {})
      : Settings_(Settings), Affinity_(Settings.Affinity_) {}

  std::optional<std::size_t> choose(const Candidates &From,
                                    framework::Random &Rng) const;

  /// Returns the expected latency in microseconds of one more attempt at the
  /// candidate.
  double expectedLatencyMicros(const Candidates &From,
                               std::size_t Position) const;

private:
  /// Returns the cost of a target at which a slot of this instance's share is
  /// free.
  double shareLatencyMicros(const Candidates &From, std::size_t Position) const;

  ReportedLoadSettings Settings_;
  AffinityPolicy Affinity_;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_POLICIES_REPORTEDLOADPOLICY_H
