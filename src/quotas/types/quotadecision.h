#ifndef CRANBERRYSPOOL_QUOTAS_TYPES_QUOTADECISION_H
#define CRANBERRYSPOOL_QUOTAS_TYPES_QUOTADECISION_H

#include "framework/ids.h"
#include "framework/time.h"

namespace cranberryspool::quotas {

/// The decision on a call that was pending.
struct QuotaDecision {
  framework::CallId Call_;
  bool IsAdmitted_ = false;
  /// If not admitted: the time until the next credit is due.
  framework::Duration NextCreditIn_{};

  friend bool operator==(const QuotaDecision &,
                         const QuotaDecision &) = default;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_TYPES_QUOTADECISION_H
