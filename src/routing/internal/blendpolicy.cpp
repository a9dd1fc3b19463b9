#include "routing/policies/blendpolicy.h"
#include "routing/leastcost.h"

#include <algorithm>
#include <cmath>

namespace cranberryspool::routing {

namespace {

using framework::Duration;
using framework::Instant;

double weightByAge(std::optional<Instant> At, Instant Now, Duration HalfLife) {
  if (!At)
    return 0;
  const double Ages = static_cast<double>((Now - *At).count()) /
                      static_cast<double>(HalfLife.count());
  return std::exp2(-Ages);
}

} // namespace

std::optional<std::size_t> BlendPolicy::choose(const Candidates &From,
                                               framework::Random &Rng) const {
  return leastCost(From, Settings_.Samples_, Rng, [&](std::size_t Position) {
    return expectedMicros(From, Position);
  });
}

double BlendPolicy::expectedMicros(const Candidates &From,
                                   std::size_t Position) const {
  const TargetState &State = From.state(Position);
  const Instant Now = From.now();
  const double Slots = std::max(State.Description_.Slots_, 1U);
  const double Reported =
      weightByAge(State.ReportedAt_, Now, Settings_.HalfLife_) *
      (State.Report_.InFlight_ + State.Report_.Queued_);
  const double Peers =
      weightByAge(State.PeerInFlightAt_, Now, Settings_.HalfLife_) *
      State.PeerInFlight_;
  const double Others = std::max(Reported - State.InFlight_, Peers);
  const double Work = State.InFlight_ + std::max(Others, 0.0);
  const double Service = std::max(From.serviceLatencyMicros(), 1.0);
  const double Latency =
      State.LatencyMicros_ > 0 ? State.LatencyMicros_ : Service;
  // Attempts that are older than an answer takes show a target that stalls.
  const double Overdue =
      std::max(State.ageSumMicros(Now) - Service * State.InFlight_, 0.0);
  const double ZoneCost =
      State.IsInOwnZone_ ? 0 : static_cast<double>(Settings_.ZoneCost_.count());
  return Latency * (Work + 1) / Slots + Overdue + ZoneCost;
}

} // namespace cranberryspool::routing
