#include "routing/policies/hotcoldpolicy.h"
#include "routing/sampling.h"

#include <algorithm>

namespace cranberryspool::routing {

namespace {

constexpr std::size_t SampleSize = 4;
constexpr double HotUtilization = 0.85;

struct Load {
  double InFlight_ = 0;
  double LatencyMicros_ = 0;
  bool IsHot_ = false;
};

Load loadOf(const TargetState &State) {
  const double Reported = State.Report_.InFlight_ + State.Report_.Queued_;
  const double InFlight = std::max<double>(Reported, State.InFlight_);
  const double Slots = std::max(State.Description_.Slots_, 1U);
  return {InFlight, State.LatencyMicros_, InFlight > HotUtilization * Slots};
}

bool isBetter(const Load &Left, const Load &Right) {
  if (Left.IsHot_ != Right.IsHot_)
    return Right.IsHot_;
  if (Left.IsHot_)
    return Left.InFlight_ < Right.InFlight_;
  return Left.LatencyMicros_ < Right.LatencyMicros_;
}

} // namespace

std::optional<std::size_t> HotColdPolicy::choose(const Candidates &From,
                                                 framework::Random &Rng) const {
  std::optional<std::size_t> Best;
  Load BestLoad;
  for (std::size_t Sample = 0; Sample < SampleSize; ++Sample) {
    const auto Position = sampleAllowed(From, Rng);
    if (!Position)
      return std::nullopt;
    const Load Current = loadOf(From.state(*Position));
    if (Best && !isBetter(Current, BestLoad))
      continue;
    Best = Position;
    BestLoad = Current;
  }
  return Best;
}

} // namespace cranberryspool::routing
