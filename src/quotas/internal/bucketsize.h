#ifndef CRANBERRYSPOOL_QUOTAS_INTERNAL_BUCKETSIZE_H
#define CRANBERRYSPOOL_QUOTAS_INTERNAL_BUCKETSIZE_H

#include "quotas/internal/quotatiming.h"
#include "quotas/types/workspacelimit.h"

#include <algorithm>

namespace cranberryspool::quotas {

/// Returns how many requests of a workspace may come at once. At least one, or
/// none could ever run.
inline double bucketSize(const WorkspaceLimit &Limit) {
  return std::max(
      {Limit.Burst_, 1.0, Limit.RequestsPerSecond_ * BucketSeconds});
}

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_INTERNAL_BUCKETSIZE_H
