#include "routing/policies/blendpolicy.h"
#include "routing/leastcost.h"

#include <algorithm>
#include <cmath>

namespace cranberryspool::routing {

namespace {

using framework::Duration;
using framework::Instant;

double ageWeight(std::optional<Instant> At, Instant Now, Duration HalfLife) {
  if (!At)
    return 0;
  const double HalfLives = static_cast<double>((Now - *At).count()) /
                           static_cast<double>(HalfLife.count());
  return std::exp2(-HalfLives);
}

} // namespace

std::optional<std::size_t> BlendPolicy::choose(const Candidates &From,
                                               framework::Random &Rng) const {
  return selectLeastCost(From, Settings_.SampleSize_, Rng,
                         [&](std::size_t Position) {
                           return expectedLatencyMicros(From, Position);
                         });
}

double BlendPolicy::expectedLatencyMicros(const Candidates &From,
                                          std::size_t Position) const {
  const TargetState &State = From.state(Position);
  const Instant Now = From.now();
  const double Slots = std::max(State.Description_.Slots_, 1U);
  const double ReportedLoad =
      ageWeight(State.ReportedAt_, Now, Settings_.HalfLife_) *
      (State.Report_.InFlight_ + State.Report_.Queued_);
  const double PeerLoad =
      ageWeight(State.PeerInFlightAt_, Now, Settings_.HalfLife_) *
      State.PeerInFlight_;
  const double OthersLoad = std::max(ReportedLoad - State.InFlight_, PeerLoad);
  const double TotalLoad = State.InFlight_ + std::max(OthersLoad, 0.0);
  const double ServiceLatency = std::max(From.serviceLatencyMicros(), 1.0);
  const double Latency =
      State.LatencyMicros_ > 0 ? State.LatencyMicros_ : ServiceLatency;
  // Attempts that are older than the usual latency indicate that the target has
  // stalled.
  const double Overdue = std::max(
      State.inFlightAgeSumMicros(Now) - ServiceLatency * State.InFlight_, 0.0);
  const double ZoneCost =
      State.IsInLocalZone_
          ? 0
          : static_cast<double>(Settings_.CrossZoneCost_.count());
  return Latency * (TotalLoad + 1) / Slots + Overdue + ZoneCost;
}

} // namespace cranberryspool::routing
