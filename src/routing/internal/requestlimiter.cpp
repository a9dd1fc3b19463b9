#include "routing/internal/requestlimiter.h"

#include <algorithm>
#include <cmath>

namespace cranberryspool::routing {

namespace {

using framework::Duration;
using framework::Instant;

/// The number of instances that send to a target with a very low limit. Each of
/// them may send one request at any moment, so a short window may contain that
/// many requests more than the limit allows in it.
constexpr double MinSenders = 3;
/// The share of the limit that is used. The rest is a margin for instances that
/// disagree about which of them are running.
constexpr double Utilization = 0.9;
/// Targets may name their limit only in responses to requests.
constexpr Duration ConfirmationInterval = std::chrono::seconds(2);
/// An instance that does not hear of a limit for this long tries the target
/// again. The instances do so one after another, by rank.
constexpr Duration MinLimitLifetime = std::chrono::seconds(20);
constexpr Duration LimitLifetimePerRank = std::chrono::seconds(1);

} // namespace

bool RequestLimiter::setLimit(RequestRate Limit, Instant StatedAt,
                              Instant Now) {
  if (StatedAt < ConfirmedAt_)
    return false;
  ConfirmedAt_ = StatedAt;
  if (Limit == Limit_)
    return false;
  if (Limit_.isUnlimited())
    Bucket_.start(Now);
  Limit_ = Limit;
  return true;
}

bool RequestLimiter::expire(Instant Now) {
  if (Limit_.isUnlimited() || Now < expiry())
    return false;
  Limit_ = RequestRate::unlimited();
  return true;
}

Instant RequestLimiter::expiry() const {
  return ConfirmedAt_ + MinLimitLifetime +
         LimitLifetimePerRank * (Rank_ ? Rank_->Rank_ : 0);
}

bool RequestLimiter::canSend(Instant Now) const {
  if (Limit_.isUnlimited())
    return true;
  const RateShare Share = share();
  return Share.PerSecond_ > 0 && Bucket_.canAcquire(Share, Now);
}

void RequestLimiter::recordSent(Instant Now) {
  if (!Limit_.isUnlimited())
    Bucket_.acquire(share(), Now);
}

bool RequestLimiter::isConfirmationDue(Instant Now) const {
  return !Limit_.isUnlimited() && Now >= ConfirmedAt_ + ConfirmationInterval;
}

std::optional<Instant> RequestLimiter::nextWakeUp(Instant Now) {
  if (Limit_.isUnlimited())
    return std::nullopt;
  const RateShare Share = share();
  if (Share.PerSecond_ > 0)
    return Bucket_.nextAvailability(Share, Now);
  if (ExpiryTimerAt_ > Now)
    return std::nullopt;
  ExpiryTimerAt_ = expiry();
  return ExpiryTimerAt_;
}

RateShare RequestLimiter::share() const {
  if (!Rank_)
    return {};
  const double Limit = Limit_.perSecond();
  // An instance that knows of fewer than `MinSenders` may be one of many that
  // have lost each other.
  const double Senders = std::clamp<double>(Rank_->Instances_, MinSenders,
                                            MinSenders + std::floor(Limit));
  if (Rank_->Rank_ >= Senders)
    return {};
  return {.PerSecond_ = Utilization * Limit / Senders,
          .Burst_ = std::max(1.0, (MinSenders + Limit) / Senders)};
}

} // namespace cranberryspool::routing
