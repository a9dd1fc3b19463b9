#include "fleet/internal/seeded/loadsharing.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// Targets change their speed many times a second: older reports are of no use
/// to other zones.
constexpr framework::Duration OldestAbroad = std::chrono::milliseconds(600);

} // namespace

void LoadSharing::noteOwn(const framework::TargetName &Target,
                          const routing::LoadReport &Report,
                          framework::Instant Now) {
  // An answer does not tell the warmth that a probe has told just before it.
  Seen &Known = Pending_[Target];
  const auto Warmup =
      Report.WarmupLeft_ ? Report.WarmupLeft_ : Known.Report_.WarmupLeft_;
  Known = Seen{Report, Now};
  Known.Report_.WarmupLeft_ = Warmup;
  if (Report.WarmupLeft_)
    HealthHeardAt_[Target] = Now;
}

void LoadSharing::noteShared(const SharedLoad &Load, framework::Instant Now) {
  if (!Load.Report_.WarmupLeft_)
    return;
  framework::Instant &Heard = HealthHeardAt_[Load.Target_];
  Heard = std::max(Heard, Now - Load.Age_);
}

std::vector<SharedLoad> LoadSharing::take(framework::Instant Now) {
  std::vector<SharedLoad> Taken;
  while (!Pending_.empty() && Taken.size() < MaxPerNotice) {
    const auto First = Pending_.begin();
    Taken.push_back(
        {First->first, First->second.Report_, Now - First->second.At_});
    Pending_.erase(First);
  }
  return Taken;
}

void LoadSharing::noteForOtherZones(const framework::TargetName &Target,
                                    const routing::LoadReport &Report,
                                    framework::Instant SeenAt) {
  Seen &Known = PendingAbroad_[Target];
  if (SeenAt >= Known.At_)
    Known = Seen{Report, SeenAt};
}

std::vector<std::vector<SharedLoad>>
LoadSharing::takeForOtherZones(framework::Instant Now) {
  std::vector<std::vector<SharedLoad>> Parts;
  for (const auto &[Target, Known] : std::exchange(PendingAbroad_, {})) {
    // One that has just become the zone's teller may hold old ones.
    if (Now - Known.At_ > OldestAbroad)
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
