#include "routing/policies/reportedloadpolicy.h"

#include "routing/leastcost.h"

#include <algorithm>
#include <cmath>

namespace cranberryspool::routing {

namespace {

/// Steps of the random spread of costs.
constexpr std::size_t SpreadSteps = 1000;

/// A new target is tried by the few instances that may send to it while it is
/// cold, so that it does not stay idle beside others that are known to be fast.
bool isToBeTried(const TargetState &State) {
  return State.IsUntried_ &&
         State.Bounds_.ColdRequestsPerSecond_.value_or(0) > 0;
}

} // namespace

std::optional<std::size_t>
ReportedLoadPolicy::choose(const Candidates &From,
                           framework::Random &Rng) const {
  return leastCost(
      From, Settings_.Affinity_.Samples_, Rng, [&](std::size_t Position) {
        if (isToBeTried(From.state(Position)))
          return 0.0;
        const double Expected = expectedMicros(From, Position);
        if (!From.state(Position).Report_.SlowdownPercent_)
          return Expected;
        const double Part =
            static_cast<double>(Rng.index(SpreadSteps)) / SpreadSteps;
        return Expected * (1 + Settings_.Spread_ * Part);
      });
}

double ReportedLoadPolicy::expectedMicros(const Candidates &From,
                                          std::size_t Position) const {
  const TargetState &State = From.state(Position);
  if (!State.Report_.SlowdownPercent_ || !State.ReportedAt_)
    return Affinity_.expectedMicros(From, Position);
  const auto Age =
      static_cast<double>((From.now() - *State.ReportedAt_).count());
  const double Known =
      std::exp2(-Age / static_cast<double>(Settings_.ReportHalfLife_.count()));
  const double Usual = From.serviceSlowdown();
  const double Slowdown =
      Known * *State.Report_.SlowdownPercent_ / 100.0 + (1 - Known) * Usual;
  const double Slots = std::max(State.Description_.Slots_, 1U);
  const double Reported = State.Report_.InFlight_ + State.Report_.Queued_;
  const double Load =
      Known * Reported + (1 - Known) * Settings_.AssumedLoad_ * Slots +
      static_cast<double>(std::min<std::size_t>(State.SentSinceReport_.size(),
                                                State.InFlight_)) +
      1;
  const double Waiting = std::max(0.0, Load - Slots) / Slots;
  const double Busy =
      Load > Settings_.BusyShare_ * Slots ? Settings_.BusySlowness_ : 1.0;
  const double Work = std::max(From.serviceLatencyMicros(), 1.0) / Usual;
  const auto ZoneDelay =
      static_cast<double>(Settings_.Affinity_.ZoneDelay_.count());
  const double Zone =
      State.IsInOwnZone_ ? 0 : ZoneDelay + Settings_.Affinity_.ZoneCost_ * Work;
  const double Connection =
      From.hasIdleConnection(Position) ? 0 : Settings_.ConnectionCost_ * Work;
  return Work * Slowdown * Busy * (1 + Waiting) + Zone + Connection;
}

} // namespace cranberryspool::routing
