#include "routing/policies/reportedloadpolicy.h"

#include "routing/leastcost.h"

#include <algorithm>
#include <cmath>

namespace cranberryspool::routing {

namespace {

/// The number of different values of the random jitter of costs.
constexpr std::size_t JitterSteps = 1000;

/// Returns true when the target has to be tried once regardless of its cost.
/// The few instances that may send to a new target while it is cold try it, so
/// that it does not stay idle next to targets that are known to be fast.
bool needsTrial(const TargetState &State) {
  return State.IsUntried_ &&
         State.Limits_.ColdRequestsPerSecond_.value_or(0) > 0;
}

} // namespace

std::optional<std::size_t>
ReportedLoadPolicy::choose(const Candidates &From,
                           framework::Random &Rng) const {
  return selectLeastCost(
      From, Settings_.Affinity_.SampleSize_, Rng, [&](std::size_t Position) {
        if (needsTrial(From.state(Position)))
          return 0.0;
        if (From.state(Position).hasFreeShare())
          return shareLatencyMicros(From, Position);
        const double Latency = expectedLatencyMicros(From, Position);
        if (!From.state(Position).Report_.SlowdownPercent_)
          return Latency;
        const double Jitter =
            static_cast<double>(Rng.index(JitterSteps)) / JitterSteps;
        return Latency * (1 + Settings_.CostJitter_ * Jitter +
                          Settings_.RingDistanceCost_ *
                              From.state(Position).Limits_.RingDistance_);
      });
}

double ReportedLoadPolicy::shareLatencyMicros(const Candidates &From,
                                              std::size_t Position) const {
  const TargetState &State = From.state(Position);
  const double Slowdown = State.Report_.SlowdownPercent_.value_or(100) / 100.0;
  return Settings_.ShareCost_ * Slowdown *
         std::max(From.serviceLatencyMicros(), 1.0) / From.serviceSlowdown();
}

double ReportedLoadPolicy::expectedLatencyMicros(const Candidates &From,
                                                 std::size_t Position) const {
  const TargetState &State = From.state(Position);
  if (!State.Report_.SlowdownPercent_ || !State.ReportedAt_)
    return Affinity_.expectedLatencyMicros(From, Position);
  const auto Age =
      static_cast<double>((From.now() - *State.ReportedAt_).count());
  const double ReportWeight =
      std::exp2(-Age / static_cast<double>(Settings_.ReportHalfLife_.count()));
  const double ServiceSlowdown = From.serviceSlowdown();
  const double Slowdown =
      ReportWeight * *State.Report_.SlowdownPercent_ / 100.0 +
      (1 - ReportWeight) * ServiceSlowdown;
  const double Slots = std::max(State.Description_.Slots_, 1U);
  const double ReportedLoad = State.Report_.InFlight_ + State.Report_.Queued_;
  const double Load =
      ReportWeight * ReportedLoad +
      (1 - ReportWeight) * Settings_.AssumedUtilization_ * Slots +
      static_cast<double>(std::min<std::size_t>(State.SentSinceReport_.size(),
                                                State.InFlight_)) +
      1;
  const double RelativeQueueTime = std::max(0.0, Load - Slots) / Slots;
  const double BusyFactor =
      Load > Settings_.BusyUtilization_ * Slots ? Settings_.BusySlowdown_ : 1.0;
  const double BaseLatency =
      std::max(From.serviceLatencyMicros(), 1.0) / ServiceSlowdown;
  const auto CrossZoneRoundTrip =
      static_cast<double>(Settings_.Affinity_.CrossZoneRoundTrip_.count());
  const double ZoneCost =
      State.IsInLocalZone_
          ? 0
          : CrossZoneRoundTrip +
                Settings_.Affinity_.CrossZoneCost_ * BaseLatency;
  const double PreferenceCost =
      State.Limits_.IsPreferred_ || !State.IsInLocalZone_
          ? 0
          : Settings_.NotPreferredCost_ * BaseLatency;
  const double ConnectionCost =
      From.hasIdleConnection(Position)
          ? 0
          : Settings_.NewConnectionCost_ * BaseLatency;
  return BaseLatency * Slowdown * BusyFactor * (1 + RelativeQueueTime) +
         ZoneCost + PreferenceCost + ConnectionCost;
}

} // namespace cranberryspool::routing
