#ifndef CRANBERRYSPOOL_QUOTAS_INTERNAL_SHAREBUCKET_H
#define CRANBERRYSPOOL_QUOTAS_INTERNAL_SHAREBUCKET_H

#include "framework/ids.h"
#include "framework/time.h"
#include "quotas/internal/credits.h"
#include "quotas/types/quotarequest.h"

#include <cstdint>
#include <map>

namespace cranberryspool::quotas {

struct QuotaContext;

/// A shareholder's part of a quota: a token bucket that the home instance
/// empties.
class ShareBucket {
public:
  explicit ShareBucket(framework::Instant Start) : RefilledAt_(Start) {}

  /// Takes up to the requested amount. Returns the same amount for a repeated
  /// request and nothing for an earlier one.
  Credits take(const QuotaRequest &Request, const QuotaContext &Context);
  /// Limits the content after the quota or the fleet changed.
  void adjust(const QuotaContext &Context) { refill(Context); }
  /// Returns true if the bucket is as a new one would be.
  bool isIdle(const QuotaContext &Context);

private:
  struct LastGrant {
    framework::Incarnation Incarnation_;
    std::uint64_t Sequence_ = 0;
    Credits Amount_ = 0;
    framework::Instant At_{};
  };

  void refill(const QuotaContext &Context);

  Credits Level_ = 0;
  framework::Instant RefilledAt_;
  std::map<framework::InstanceName, LastGrant> LastGrants_;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_INTERNAL_SHAREBUCKET_H
