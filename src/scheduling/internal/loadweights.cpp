#include "scheduling/loadweights.h"

#include <algorithm>
#include <cmath>

namespace cranberryspool::scheduling {

namespace {

using framework::Duration;
using framework::Instant;

/// Usual loads are averaged over five minutes: a burst of a minute raises them
/// by less than a fifth of its height.
constexpr double UsualSeconds = 300;
constexpr double PresentSeconds = 2;
/// The share of a flow's present load that counts at least. A quarter of what
/// others get is required; the rest is margin for the error of the estimate.
constexpr double MinPresentShare = 1.0 / 3;
/// A flow is forgotten when less than this remains of its usual load.
constexpr double MinUsual = 0.01;
constexpr Duration ForgetInterval = std::chrono::seconds(60);

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

double LoadWeights::recordCall(FlowId Flow, Instant Now) {
  forgetIdle(Now);
  Load &Own = Loads_[Flow];
  for (Load *Counted : {&Own, &Total_}) {
    decay(*Counted, Now);
    ++Counted->Usual_;
    ++Counted->Present_;
  }
  const double MeanRate =
      Total_.Present_ / PresentSeconds / static_cast<double>(Loads_.size());
  const double FairRate =
      std::max({MeanRate, Own.Usual_ / UsualSeconds,
                Own.Present_ / PresentSeconds * MinPresentShare});
  return MeanRate / FairRate;
}

void LoadWeights::decay(Load &Counted, Instant Now) const {
  const double Elapsed = std::max(0.0, seconds(Now - Counted.RecordedAt_));
  Counted.Usual_ *= std::exp(-Elapsed / UsualSeconds);
  Counted.Present_ *= std::exp(-Elapsed / PresentSeconds);
  Counted.RecordedAt_ = std::max(Counted.RecordedAt_, Now);
}

void LoadWeights::forgetIdle(Instant Now) {
  if (Now - ForgottenAt_ < ForgetInterval)
    return;
  ForgottenAt_ = Now;
  for (auto Entry = Loads_.begin(); Entry != Loads_.end();) {
    decay(Entry->second, Now);
    Entry = Entry->second.Usual_ < MinUsual ? Loads_.erase(Entry)
                                            : std::next(Entry);
  }
}

} // namespace cranberryspool::scheduling
