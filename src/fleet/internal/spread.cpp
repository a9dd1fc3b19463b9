#include "fleet/internal/spread.h"

#include <utility>

namespace cranberryspool::fleet {

namespace {

/// A fetch without an answer for this long gives way to the next one.
constexpr framework::Duration FetchTimeout = std::chrono::seconds(1);

} // namespace

void Spread::notePeerRevision(const std::string &PeerAddress,
                              framework::Revision Offered,
                              framework::Revision Accepted,
                              std::vector<SectionDigest> Have,
                              framework::Instant Now, OutputList &Output) {
  if (Offered <= Accepted)
    return;
  if (!FetchingFrom_.empty() && Now < GiveUpAt_)
    return;
  FetchingFrom_ = PeerAddress;
  GiveUpAt_ = Now + FetchTimeout;
  Output.push_back(
      FetchSections{PeerAddress, SectionRequest{Kind_, std::move(Have)}});
}

void Spread::noteEnded(const std::string &PeerAddress) {
  if (FetchingFrom_ == PeerAddress)
    FetchingFrom_.clear();
}

} // namespace cranberryspool::fleet
