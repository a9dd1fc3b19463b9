#include "routing/experiment/workload.h"

#include "framework/random.h"

#include <algorithm>
#include <cmath>

namespace cranberryspool::experiment {

namespace {

using framework::Duration;
using framework::Instant;
using framework::Random;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double SlowSpeed = 1.0 / 3;
constexpr Duration MinSlowPeriod = milliseconds(50);
constexpr Duration MaxSlowPeriod = milliseconds(200);

double loadAt(const WorkloadSettings &Settings, Instant Now) {
  const Duration Since = Now - startOfRun();
  const bool IsBurst =
      Since >= Settings.BurstFrom_ && Since < Settings.BurstUntil_;
  return IsBurst ? Settings.BurstLoad_ : Settings.Load_;
}

void addArrivals(const Deployment &Fleet, const WorkloadSettings &Settings,
                 std::uint32_t Service, Random &Rng, Workload &Output) {
  const ServiceModel &Model = Fleet.Services_[Service];
  const double ConstantShare = Settings.ConstantShareOfWork_;
  const double Mean =
      Settings.WorkScale_ * static_cast<double>(Model.MeanWork_.count());
  const double Slots = Model.Targets_ * Model.SlotsPerTarget_;
  const Instant End = startOfRun() + Settings.Length_;
  double Now = static_cast<double>(startOfRun().time_since_epoch().count());
  while (true) {
    const double Load = loadAt(Settings, Instant(Duration(std::llround(Now))));
    Now += Rng.exponential(Mean / (Slots * Load));
    const Instant At{Duration(std::llround(Now))};
    if (At >= End)
      return;
    const double Work =
        ConstantShare * Mean + Rng.exponential((1 - ConstantShare) * Mean);
    const bool IsUrgent = Rng.fraction() < Model.UrgentShare_;
    Output.Arrivals_.push_back(
        {At, Service, static_cast<std::uint32_t>(Rng.index(Fleet.Instances_)),
         IsUrgent ? document::Urgency::Urgent : document::Urgency::Ordinary,
         Duration(std::llround(Work))});
  }
}

void addSlowPeriods(const Deployment &Fleet, const WorkloadSettings &Settings,
                    Random &Rng, Workload &Output) {
  const std::uint32_t Targets = Fleet.targets();
  const auto SlowTargets = std::lround(Settings.SlowShare_ * Targets);
  const Instant End = startOfRun() + Settings.Length_;
  std::vector<Instant> SlowUntil(Targets);
  std::vector<Instant> PeriodEnds(SlowTargets, startOfRun());
  while (SlowTargets > 0) {
    Instant &Now = *std::min_element(PeriodEnds.begin(), PeriodEnds.end());
    if (Now >= End)
      break;
    auto Target = static_cast<std::uint32_t>(Rng.index(Targets));
    while (SlowUntil[Target] > Now)
      Target = static_cast<std::uint32_t>(Rng.index(Targets));
    const auto LengthRange = (MaxSlowPeriod - MinSlowPeriod).count();
    const Duration Length = MinSlowPeriod + Duration(Rng.index(LengthRange));
    Output.SpeedChanges_.push_back({Now, Target, SlowSpeed});
    Output.SpeedChanges_.push_back({Now + Length, Target, 1});
    SlowUntil[Target] = Now + Length;
    Now += Length;
  }
}

} // namespace

Instant startOfRun() { return Instant(seconds(1000)); }

Workload makeWorkload(const Deployment &Fleet, const WorkloadSettings &Settings,
                      std::uint64_t Seed) {
  Random Rng(Seed);
  Workload Output;
  for (std::uint32_t Service = 0; Service < Fleet.Services_.size(); ++Service)
    addArrivals(Fleet, Settings, Service, Rng, Output);
  addSlowPeriods(Fleet, Settings, Rng, Output);
  const auto ByTime = [](const auto &Left, const auto &Right) {
    return Left.At_ < Right.At_;
  };
  std::stable_sort(Output.Arrivals_.begin(), Output.Arrivals_.end(), ByTime);
  std::stable_sort(Output.SpeedChanges_.begin(), Output.SpeedChanges_.end(),
                   ByTime);
  return Output;
}

} // namespace cranberryspool::experiment
