#ifndef CRANBERRYSPOOL_ROUTING_CANDIDATES_H
#define CRANBERRYSPOOL_ROUTING_CANDIDATES_H

#include "framework/time.h"
#include "routing/types/selectionrequest.h"
#include "routing/types/targetstate.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace cranberryspool::routing {

/// The input of a load-balancing policy: the targets of one service that are
/// eligible for one more attempt, and the request. Only valid during one call
/// of the policy.
class Candidates {
public:
  Candidates(const std::vector<TargetState> &Targets,
             const std::vector<framework::TargetId> &Eligible,
             const SelectionRequest &Request, double ServiceLatencyMicros,
             double ServiceSlowdown, framework::Instant Now)
      : Targets_(Targets), Eligible_(Eligible), Request_(Request),
        ServiceLatencyMicros_(ServiceLatencyMicros),
        ServiceSlowdown_(ServiceSlowdown), Now_(Now) {}

  std::size_t size() const { return Eligible_.size(); }

  const TargetState &state(std::size_t Position) const {
    return Targets_[Eligible_[Position].value()];
  }

  framework::TargetId target(std::size_t Position) const {
    return Eligible_[Position];
  }

  /// Returns true when an earlier attempt of the same call has used the target.
  bool isExcluded(std::size_t Position) const {
    const auto &Excluded = Request_.Excluded_;
    return std::find(Excluded.begin(), Excluded.end(), Eligible_[Position]) !=
           Excluded.end();
  }

  /// Returns true when an attempt at the target needs no new connection.
  bool hasIdleConnection(std::size_t Position) const {
    const auto &Idle = Request_.IdleConnections_;
    const std::size_t Target = Eligible_[Position].value();
    return Target < Idle.size() && Idle[Target] > 0;
  }

  const SelectionRequest &request() const { return Request_; }

  /// Returns the moving average of the response time of the whole service.
  double serviceLatencyMicros() const { return ServiceLatencyMicros_; }

  /// Returns the moving average of the slowdown that the service's targets
  /// report; 1 is the usual speed.
  double serviceSlowdown() const { return ServiceSlowdown_; }

  framework::Instant now() const { return Now_; }

private:
  const std::vector<TargetState> &Targets_;
  const std::vector<framework::TargetId> &Eligible_;
  const SelectionRequest &Request_;
  double ServiceLatencyMicros_;
  double ServiceSlowdown_;
  framework::Instant Now_;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_CANDIDATES_H
