#include "fleet/internal/freshness.h"
#include "fleet/internal/timing.h"

#include <algorithm>
#include <functional>

namespace cranberryspool::fleet {

namespace {

/// A lone instance that cannot reach the platform goes on for this long after
/// the start of its latest failed read; longer than two reads with their pause.
constexpr framework::Duration LoneBound = std::chrono::seconds(6);

bool isCutOffAlike(const PeerRecord &Peer, const FreshnessEvidence &Evidence) {
  const bool IsDocument = Evidence.Kind_ == SectionKind::Document;
  const framework::Revision Revision =
      IsDocument ? Peer.View_.DocumentRevision_ : Peer.View_.ListRevision_;
  const std::optional<framework::Duration> Age =
      IsDocument ? Peer.View_.DocumentAge_ : Peer.View_.ListAge_;
  if (Revision > Evidence.Accepted_)
    return false;
  return !Age || *Age > SuspicionAge;
}

framework::Instant cutOffUntil(const FreshnessEvidence &Evidence) {
  if (Evidence.Confirmed_.newestHeard() > Evidence.Accepted_)
    return framework::Instant{};
  std::vector<framework::Instant> Heard;
  std::size_t Listed = 0;
  bool IsSelfListed = false;
  for (const document::PublishedInstance &Member : Evidence.Members_) {
    if (Member.IsLeaving_)
      continue;
    ++Listed;
    if (Member.Name_ == Evidence.Self_) {
      IsSelfListed = true;
      continue;
    }
    const PeerRecord *Peer = Evidence.Peers_.find(Member.Name_);
    if (Peer && Peer->AskedAt_ && isCutOffAlike(*Peer, Evidence))
      Heard.push_back(*Peer->AskedAt_);
  }
  const std::size_t Needed = Listed / 2 + 1 - (IsSelfListed ? 1 : 0);
  if (Needed == 0)
    return Evidence.OwnFailure_ ? *Evidence.OwnFailure_ + LoneBound
                                : framework::Instant{};
  if (Heard.size() < Needed)
    return framework::Instant{};
  std::sort(Heard.begin(), Heard.end(), std::greater<>());
  return Heard[Needed - 1] + FreshBound;
}

} // namespace

framework::Instant freshUntil(const FreshnessEvidence &Evidence) {
  const auto ConfirmedAt = Evidence.Confirmed_.confirmedAt();
  if (!ConfirmedAt)
    return cutOffUntil(Evidence);
  const framework::Instant Until = *ConfirmedAt + FreshBound;
  if (Evidence.Now_ - *ConfirmedAt <= SuspicionAge)
    return Until;
  return std::max(Until, cutOffUntil(Evidence));
}

} // namespace cranberryspool::fleet
