#include "routing/policies/affinitypolicy.h"
#include "routing/leastcost.h"

#include <algorithm>

namespace cranberryspool::routing {

namespace {

/// The fraction of a target's slots that the other instances are assumed to
/// use.
constexpr double AssumedPeerUtilization = 0.7;

} // namespace

std::optional<std::size_t>
AffinityPolicy::choose(const Candidates &From, framework::Random &Rng) const {
  return selectLeastCost(From, Settings_.SampleSize_, Rng,
                         [&](std::size_t Position) {
                           return expectedLatencyMicros(From, Position);
                         });
}

double AffinityPolicy::expectedLatencyMicros(const Candidates &From,
                                             std::size_t Position) const {
  const TargetState &State = From.state(Position);
  const double MeanLatency = std::max(From.serviceLatencyMicros(), 1.0);
  const double Slots = std::max(State.Description_.Slots_, 1U);
  const double Load = AssumedPeerUtilization + State.InFlight_ / Slots;
  const double Slowness = State.RecentLatency_.relativeLatency(
      State.inFlightAgeSumMicros(From.now()), MeanLatency, From.now());
  const double ZoneCost =
      State.IsInLocalZone_
          ? 0
          : static_cast<double>(Settings_.CrossZoneRoundTrip_.count()) +
                Settings_.CrossZoneCost_ * MeanLatency;
  const double DistanceCost =
      Settings_.RingDistanceCost_ * State.Limits_.RingDistance_;
  return MeanLatency * (Slowness * Load + DistanceCost) + ZoneCost;
}

} // namespace cranberryspool::routing
