#include "quotas/internal/sharebucket.h"

#include "quotas/internal/bucketsize.h"
#include "quotas/internal/quotacontext.h"

#include <algorithm>

namespace cranberryspool::quotas {

namespace {

/// Returns the part of the quota that one shareholder issues.
double shareOf(const QuotaContext &Context) {
  return Context.Members_.fraction() * ShareExcess /
         static_cast<double>(Context.Shareholders_.size());
}

Credits shareCapacity(const QuotaContext &Context) {
  return toCredits(shareOf(Context) * bucketSize(Context.Limit_));
}

} // namespace

Credits ShareBucket::take(const QuotaRequest &Request,
                          const QuotaContext &Context) {
  LastGrant &Last = LastGrants_[Request.From_];
  if (Request.Incarnation_ == Last.Incarnation_ &&
      Request.Sequence_ == Last.Sequence_)
    return Last.Amount_;
  if (Request.Incarnation_ < Last.Incarnation_ ||
      (Request.Incarnation_ == Last.Incarnation_ &&
       Request.Sequence_ < Last.Sequence_))
    return 0;
  refill(Context);
  const Credits Amount =
      std::min(Level_, static_cast<Credits>(Request.Wanted_));
  Level_ -= Amount;
  Last = {Request.Incarnation_, Request.Sequence_, Amount, Context.Now_};
  return Amount;
}

bool ShareBucket::isIdle(const QuotaContext &Context) {
  std::erase_if(LastGrants_, [&](const auto &Each) {
    return Context.Now_ >= Each.second.At_ + IdleTimeout;
  });
  refill(Context);
  return LastGrants_.empty() && Level_ >= shareCapacity(Context);
}

void ShareBucket::refill(const QuotaContext &Context) {
  if (Context.Now_ > RefilledAt_) {
    Level_ += creditsIn(shareOf(Context) * Context.Limit_.RequestsPerSecond_,
                        Context.Now_ - RefilledAt_);
    RefilledAt_ = Context.Now_;
  }
  Level_ = std::min(Level_, shareCapacity(Context));
}

} // namespace cranberryspool::quotas
