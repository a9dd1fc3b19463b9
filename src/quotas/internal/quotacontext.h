#ifndef CRANBERRYSPOOL_QUOTAS_INTERNAL_QUOTACONTEXT_H
#define CRANBERRYSPOOL_QUOTAS_INTERNAL_QUOTACONTEXT_H

#include "framework/random.h"
#include "framework/time.h"
#include "quotas/internal/memberview.h"
#include "quotas/internal/quotaoutbox.h"
#include "quotas/types/quotacounters.h"
#include "quotas/types/quotadecision.h"
#include "quotas/types/quotasettings.h"
#include "quotas/types/workspacelimit.h"

#include <vector>

namespace cranberryspool::quotas {

/// What the parts of a workspace's state need for one operation.
struct QuotaContext {
  framework::Instant Now_;
  const WorkspaceLimit &Limit_;
  const std::vector<MemberView::Shareholder> &Shareholders_;
  const QuotaSettings &Settings_;
  MemberView &Members_;
  QuotaOutbox &Outbox_;
  QuotaCounters &Counters_;
  std::vector<QuotaDecision> &Decisions_;
  framework::Random &Rng_;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_INTERNAL_QUOTACONTEXT_H
