#include "routing/policies/affinitypolicy.h"
#include "routing/leastcost.h"

#include <algorithm>

namespace cranberryspool::routing {

namespace {

/// The share of a target's slots that the other instances are taken to use.
constexpr double AssumedShareOfOthers = 0.7;

} // namespace

std::optional<std::size_t>
AffinityPolicy::choose(const Candidates &From, framework::Random &Rng) const {
  return leastCost(From, Settings_.Samples_, Rng, [&](std::size_t Position) {
    return expectedMicros(From, Position);
  });
}

double AffinityPolicy::expectedMicros(const Candidates &From,
                                      std::size_t Position) const {
  const TargetState &State = From.state(Position);
  const double Usual = std::max(From.serviceLatencyMicros(), 1.0);
  const double Slots = std::max(State.Description_.Slots_, 1U);
  const double Load = AssumedShareOfOthers + State.InFlight_ / Slots;
  const double Slowness =
      State.Recent_.slowness(State.ageSumMicros(From.now()), Usual, From.now());
  const double Zone = State.IsInOwnZone_
                          ? 0
                          : static_cast<double>(Settings_.ZoneDelay_.count()) +
                                Settings_.ZoneCost_ * Usual;
  const double Distance = Settings_.DistanceCost_ * State.Bounds_.RingDistance_;
  return Usual * (Slowness * Load + Distance) + Zone;
}

} // namespace cranberryspool::routing
