#ifndef CRANBERRYSPOOL_ROUTING_INTERNAL_REQUESTLIMITER_H
#define CRANBERRYSPOOL_ROUTING_INTERNAL_REQUESTLIMITER_H

#include "framework/time.h"
#include "routing/internal/tokenbucket.h"
#include "routing/types/requestrate.h"
#include "routing/types/senderrank.h"

#include <optional>

namespace cranberryspool::routing {

/// Keeps this instance's requests to one target within its share of the rate
/// that the target accepts from all instances together.
///
/// An equal share for every instance would not bound the sum: with many
/// instances and a low limit, each could send one request in the same second.
/// Therefore only some instances, the first by `SenderRank`, send to a limited
/// target; their number grows with the limit.
class RequestLimiter {
public:
  /// Records the limit that the target has stated at the given time, unless a
  /// newer one is known. Returns true when it differs from the one before.
  bool setLimit(RequestRate Limit, framework::Instant StatedAt,
                framework::Instant Now);
  /// Sets the rank from which the share is computed. Without one nothing is
  /// sent to the target while it has a limit.
  void setRank(std::optional<SenderRank> Rank) { Rank_ = Rank; }
  /// Lifts the limit when it has not been confirmed for a long time. Returns
  /// true when it was lifted.
  bool expire(framework::Instant Now);

  RequestRate limit() const { return Limit_; }
  bool canSend(framework::Instant Now) const;
  void recordSent(framework::Instant Now);
  /// Returns true when a request should be sent, if one may, because the limit
  /// has not been confirmed lately and may have ended.
  bool isConfirmationDue(framework::Instant Now) const;

  /// Returns the time at which `canSend` or `expire` may next return true, if a
  /// timer has to be set for it.
  std::optional<framework::Instant> nextWakeUp(framework::Instant Now);

private:
  RateShare share() const;
  framework::Instant expiry() const;

  RequestRate Limit_ = RequestRate::unlimited();
  framework::Instant ConfirmedAt_{};
  std::optional<SenderRank> Rank_;
  TokenBucket Bucket_;
  framework::Instant ExpiryTimerAt_{};
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_INTERNAL_REQUESTLIMITER_H
