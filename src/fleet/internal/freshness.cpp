#include "fleet/internal/freshness.h"
#include "fleet/internal/timing.h"

#include <algorithm>
#include <functional>

namespace cranberryspool::fleet {

namespace {

/// How long the only instance of a fleet continues without the platform,
/// counted from the start of its latest failed read. Must be longer than two
/// reads and the delay between them, so that continuous read failures leave no
/// gap.
constexpr framework::Duration SingleInstanceMaxAge = std::chrono::seconds(6);

bool isAlsoDisconnected(const PeerRecord &Peer,
                        const FreshnessEvidence &Evidence) {
  const bool IsDocument = Evidence.Kind_ == SectionKind::Document;
  const framework::Revision Revision =
      IsDocument ? Peer.View_.DocumentRevision_ : Peer.View_.ListRevision_;
  const std::optional<framework::Duration> Age =
      IsDocument ? Peer.View_.DocumentAge_ : Peer.View_.ListAge_;
  if (Revision > Evidence.Accepted_)
    return false;
  return !Age || *Age > ConfirmationOverdueAge;
}

framework::Instant disconnectedUntil(const FreshnessEvidence &Evidence) {
  if (Evidence.Confirmation_.newestKnownRevision() > Evidence.Accepted_)
    return framework::Instant{};
  std::vector<framework::Instant> AckTimes;
  std::size_t MemberCount = 0;
  bool IsSelfListed = false;
  for (const document::PublishedInstance &Member : Evidence.Members_) {
    if (Member.IsLeaving_)
      continue;
    ++MemberCount;
    if (Member.Name_ == Evidence.Self_) {
      IsSelfListed = true;
      continue;
    }
    const PeerRecord *Peer = Evidence.Peers_.find(Member.Name_);
    if (Peer && Peer->AckedHeartbeatSentAt_ &&
        isAlsoDisconnected(*Peer, Evidence))
      AckTimes.push_back(*Peer->AckedHeartbeatSentAt_);
  }
  const std::size_t NeededAcks = MemberCount / 2 + 1 - (IsSelfListed ? 1 : 0);
  if (NeededAcks == 0)
    return Evidence.FailedReadStartedAt_
               ? *Evidence.FailedReadStartedAt_ + SingleInstanceMaxAge
               : framework::Instant{};
  if (AckTimes.size() < NeededAcks)
    return framework::Instant{};
  std::sort(AckTimes.begin(), AckTimes.end(), std::greater<>());
  return AckTimes[NeededAcks - 1] + MaxConfirmationAge;
}

} // namespace

framework::Instant freshUntil(const FreshnessEvidence &Evidence) {
  const auto ConfirmedAt = Evidence.Confirmation_.confirmedAt();
  if (!ConfirmedAt)
    return disconnectedUntil(Evidence);
  const framework::Instant Until = *ConfirmedAt + MaxConfirmationAge;
  if (Evidence.Now_ - *ConfirmedAt <= ConfirmationOverdueAge)
    return Until;
  return std::max(Until, disconnectedUntil(Evidence));
}

} // namespace cranberryspool::fleet
