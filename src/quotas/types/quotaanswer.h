#ifndef CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAANSWER_H
#define CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAANSWER_H

#include "framework/time.h"
#include "quotas/types/quotaverdict.h"

namespace cranberryspool::quotas {

/// The answer to a request for a credit.
struct QuotaAnswer {
  QuotaVerdict Verdict_ = QuotaVerdict::OverQuota;
  /// For `OverQuota`: the time until the next credit is due.
  framework::Duration NextCreditIn_{};

  friend bool operator==(const QuotaAnswer &, const QuotaAnswer &) = default;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAANSWER_H
