#ifndef CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAVERDICT_H
#define CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAVERDICT_H

namespace cranberryspool::quotas {

/// Whether a call may run within the quota of its workspace.
enum class QuotaVerdict {
  Admitted,
  /// The decision follows within 50 ms.
  Pending,
  OverQuota,
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAVERDICT_H
