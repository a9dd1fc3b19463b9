#ifndef CRANBERRYSPOOL_ROUTING_POLICIES_REPORTEDLOADPOLICY_H
#define CRANBERRYSPOOL_ROUTING_POLICIES_REPORTEDLOADPOLICY_H

#include "framework/random.h"
#include "framework/time.h"
#include "routing/candidates.h"
#include "routing/policies/affinitypolicy.h"

#include <cstddef>
#include <optional>

namespace cranberryspool::routing {

/// What the policy weighs besides the settings of the affinity policy.
struct ReportedLoadSettings {
  AffinitySettings Affinity_;
  /// After this time half of what a report says counts no more.
  framework::Duration ReportHalfLife_ = std::chrono::milliseconds(300);
  /// The load, as a share of the slots, of a target that nothing is known of.
  double AssumedLoad_ = 0.5;
  /// Above this share of its slots a target works slower, by this factor.
  double BusyShare_ = 0.8;
  double BusySlowness_ = 1.3;
  /// Added to the expected time at a target to which a new connection is
  /// needed, as a part of the mean time of an answer: opening one costs the
  /// target work and may hold one of its slots.
  double ConnectionCost_ = 0.15;
  /// Costs are spread at random by this part, so that instances with the same
  /// reports do not all choose the same target.
  double Spread_ = 0.1;
};

/// The least expected time by what targets report of their load and of how
/// slow their machines are now, the more so the fresher the report is. Targets
/// that do not report their slowness are judged as by the affinity policy.
class ReportedLoadPolicy {
public:
  explicit ReportedLoadPolicy(ReportedLoadSettings Settings = {})
      : Settings_(Settings), Affinity_(Settings.Affinity_) {}

  std::optional<std::size_t> choose(const Candidates &From,
                                    framework::Random &Rng) const;

  /// The expected time in microseconds of one more attempt at the candidate.
  double expectedMicros(const Candidates &From, std::size_t Position) const;

private:
  ReportedLoadSettings Settings_;
  AffinityPolicy Affinity_;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_POLICIES_REPORTEDLOADPOLICY_H
