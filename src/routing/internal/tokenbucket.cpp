#include "routing/internal/tokenbucket.h"

#include <algorithm>

namespace cranberryspool::routing {

using framework::Duration;
using framework::Instant;

void TokenBucket::start(Instant Now) {
  Tokens_ = 0;
  RefilledAt_ = Now;
}

bool TokenBucket::canAcquire(const RateShare &Share, Instant Now) const {
  return availableTokens(Share, Now) >= 1;
}

void TokenBucket::acquire(const RateShare &Share, Instant Now) {
  Tokens_ = availableTokens(Share, Now) - 1;
  RefilledAt_ = Now;
}

std::optional<Instant> TokenBucket::nextAvailability(const RateShare &Share,
                                                     Instant Now) {
  const double MissingTokens = 1 - availableTokens(Share, Now);
  if (MissingTokens <= 0)
    return std::nullopt;
  const auto Wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(MissingTokens / Share.PerSecond_));
  const Instant At = Now + Wait + Duration(1);
  if (TimerAt_ > Now && TimerAt_ <= At)
    return std::nullopt;
  TimerAt_ = At;
  return At;
}

double TokenBucket::availableTokens(const RateShare &Share, Instant Now) const {
  const double Seconds =
      std::chrono::duration<double>(Now - RefilledAt_).count();
  return std::min(Share.Burst_, Tokens_ + Share.PerSecond_ * Seconds);
}

} // namespace cranberryspool::routing
