#include "fleet/internal/fleetstate.h"

namespace cranberryspool::fleet {

namespace {

/// The largest number of targets whose state fits into a datagram together with
/// the other fields.
constexpr std::size_t MaxWarmBits = 8'000;

} // namespace

void FleetState::setWarm(const framework::TargetName &Target, bool IsWarm) {
  const bool WasWarm = WarmTargets_.erase(Target) > 0;
  if (IsWarm)
    WarmTargets_.insert(Target);
  if (IsWarm || WasWarm)
    LocallyKnownTargets_.insert(Target);
}

std::optional<WarmTargets> FleetState::warmTargets() const {
  const auto &Targets = Instances_.targets();
  if (WarmTargets_.empty() || Targets.size() > MaxWarmBits)
    return std::nullopt;
  WarmTargets Warm;
  Warm.ListRevision_ = Instances_.revision();
  Warm.Bits_.assign((Targets.size() + 7) / 8, 0);
  for (std::size_t Index = 0; Index < Targets.size(); ++Index) {
    if (!WarmTargets_.contains(
            framework::TargetName(Targets[Index].Name_.value())))
      continue;
    Warm.Bits_[Index / 8] |= static_cast<std::uint8_t>(1U << (Index % 8));
  }
  return Warm;
}

void FleetState::applyWarmTargets(const WarmTargets &Warm, OutputList &Output) {
  if (Warm.ListRevision_ != Instances_.revision())
    return;
  const auto &Targets = Instances_.targets();
  for (std::size_t Index = 0; Index < Targets.size(); ++Index) {
    if (Index / 8 >= Warm.Bits_.size())
      return;
    if ((Warm.Bits_[Index / 8] >> (Index % 8) & 1U) == 0)
      continue;
    const framework::TargetName Name(Targets[Index].Name_.value());
    if (!LocallyKnownTargets_.contains(Name))
      Output.push_back(TargetReportedWarm{Name});
  }
}

} // namespace cranberryspool::fleet
