#include "routing/internal/requestlimits.h"

namespace cranberryspool::routing {

using framework::Instant;
using framework::TargetId;

bool RequestLimits::setLimit(TargetId Target, RequestRate Limit,
                             Instant StatedAt, Instant Now) {
  if (!of(Target).setLimit(Limit, StatedAt, Now))
    return false;
  updateLimited(Target);
  return true;
}

bool RequestLimits::expire(TargetId Target, Instant Now) {
  if (!of(Target).expire(Now))
    return false;
  updateLimited(Target);
  return true;
}

void RequestLimits::updateLimited(TargetId Target) {
  std::erase(Limited_, Target);
  if (!of(Target).limit().isUnlimited())
    Limited_.push_back(Target);
}

} // namespace cranberryspool::routing
