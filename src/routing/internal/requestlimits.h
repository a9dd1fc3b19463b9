#ifndef CRANBERRYSPOOL_ROUTING_INTERNAL_REQUESTLIMITS_H
#define CRANBERRYSPOOL_ROUTING_INTERNAL_REQUESTLIMITS_H

#include "framework/ids.h"
#include "routing/internal/requestlimiter.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace cranberryspool::routing {

/// The request limits of all targets.
class RequestLimits {
public:
  /// Makes room for targets with ids below `Count`.
  void resize(std::size_t Count) { Limiters_.resize(Count); }

  RequestLimiter &of(framework::TargetId Target) {
    return Limiters_[Target.value()];
  }
  const RequestLimiter &of(framework::TargetId Target) const {
    return Limiters_[Target.value()];
  }

  /// See `RequestLimiter::setLimit`.
  bool setLimit(framework::TargetId Target, RequestRate Limit,
                framework::Instant StatedAt, framework::Instant Now);
  /// See `RequestLimiter::expire`.
  bool expire(framework::TargetId Target, framework::Instant Now);

  /// Returns the targets that have a limit.
  std::span<const framework::TargetId> limited() const { return Limited_; }

private:
  void updateLimited(framework::TargetId Target);

  /// Indexed by target id.
  std::vector<RequestLimiter> Limiters_;
  std::vector<framework::TargetId> Limited_;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_INTERNAL_REQUESTLIMITS_H
