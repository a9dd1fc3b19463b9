#include "fleet/internal/seeded/loadsharing.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// Targets change their speed many times a second: older reports are of no
/// use to others.
constexpr framework::Duration OldestTold = std::chrono::milliseconds(600);

} // namespace

void LoadSharing::noteOwn(const framework::TargetName &Target,
                          const routing::LoadReport &Report,
                          framework::Instant Now) {
  // An answer does not tell the warmth that a probe has told just before it.
  Seen &Known = pending(LoadAudience::Group)[Target];
  const auto Warmup =
      Report.WarmupLeft_ ? Report.WarmupLeft_ : Known.Report_.WarmupLeft_;
  Known = Seen{Report, Now};
  Known.Report_.WarmupLeft_ = Warmup;
  if (Report.WarmupLeft_)
    HealthHeardAt_[Target] = Now;
}

void LoadSharing::noteShared(const TargetLoad &Load, framework::Instant Now) {
  if (!Load.Report_.WarmupLeft_)
    return;
  framework::Instant &Heard = HealthHeardAt_[Load.Target_];
  Heard = std::max(Heard, Now - Load.Age_);
}

void LoadSharing::tell(LoadAudience To, const TargetLoad &Load,
                       framework::Instant Now) {
  Seen &Known = pending(To)[Load.Target_];
  if (Now - Load.Age_ >= Known.At_)
    Known = Seen{Load.Report_, Now - Load.Age_};
}

std::vector<std::vector<TargetLoad>> LoadSharing::take(LoadAudience For,
                                                       framework::Instant Now) {
  std::vector<std::vector<TargetLoad>> Parts;
  for (const auto &[Target, Known] : std::exchange(pending(For), {})) {
    // One that has just come to tell others may hold old ones.
    if (Now - Known.At_ > OldestTold)
      continue;
    if (Parts.empty() || Parts.back().size() == MaxPerNotice)
      Parts.emplace_back();
    Parts.back().push_back({Target, Known.Report_, Now - Known.At_});
  }
  return Parts;
}

framework::Duration LoadSharing::healthAge(const framework::TargetName &Target,
                                           framework::Instant Now) const {
  const auto Heard = HealthHeardAt_.find(Target);
  return Heard == HealthHeardAt_.end() ? framework::Duration::max()
                                       : Now - Heard->second;
}

framework::Duration LoadSharing::probeAge(const framework::TargetName &Target,
                                          framework::Instant Now) const {
  const auto Probed = ProbedAt_.find(Target);
  return Probed == ProbedAt_.end() ? framework::Duration::max()
                                   : Now - Probed->second;
}

} // namespace cranberryspool::fleet
