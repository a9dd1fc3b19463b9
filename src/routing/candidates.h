#ifndef CRANBERRYSPOOL_ROUTING_CANDIDATES_H
#define CRANBERRYSPOOL_ROUTING_CANDIDATES_H

#include "framework/time.h"
#include "routing/types/selectionrequest.h"
#include "routing/types/targetstate.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace cranberryspool::routing {

/// What a policy may choose from: the targets of one service that may take one
/// more attempt, and the request. Valid during one call of the policy.
class Candidates {
public:
  Candidates(const std::vector<TargetState> &Targets,
             const std::vector<framework::TargetId> &Open,
             const SelectionRequest &Request, double ServiceLatencyMicros,
             double ServiceSlowdown, framework::Instant Now)
      : Targets_(Targets), Open_(Open), Request_(Request),
        ServiceLatencyMicros_(ServiceLatencyMicros),
        ServiceSlowdown_(ServiceSlowdown), Now_(Now) {}

  std::size_t size() const { return Open_.size(); }

  const TargetState &state(std::size_t Position) const {
    return Targets_[Open_[Position].value()];
  }

  framework::TargetId target(std::size_t Position) const {
    return Open_[Position];
  }

  /// True when an earlier attempt of the same call has used the target.
  bool isExcluded(std::size_t Position) const {
    const auto &Excluded = Request_.Excluded_;
    return std::find(Excluded.begin(), Excluded.end(), Open_[Position]) !=
           Excluded.end();
  }

  /// True when an attempt there needs no new connection.
  bool hasIdleConnection(std::size_t Position) const {
    const auto &Idle = Request_.IdleConnections_;
    const std::size_t Target = Open_[Position].value();
    return Target < Idle.size() && Idle[Target] > 0;
  }

  const SelectionRequest &request() const { return Request_; }

  /// Moving average of the time of an answer over the whole service.
  double serviceLatencyMicros() const { return ServiceLatencyMicros_; }

  /// Moving average of how slow targets report their machines to be; 1 is as
  /// usual.
  double serviceSlowdown() const { return ServiceSlowdown_; }

  framework::Instant now() const { return Now_; }

private:
  const std::vector<TargetState> &Targets_;
  const std::vector<framework::TargetId> &Open_;
  const SelectionRequest &Request_;
  double ServiceLatencyMicros_;
  double ServiceSlowdown_;
  framework::Instant Now_;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_CANDIDATES_H
