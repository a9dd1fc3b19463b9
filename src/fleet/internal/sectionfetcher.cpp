#include "fleet/internal/sectionfetcher.h"

#include <utility>

namespace cranberryspool::fleet {

namespace {

/// After this time without a response, a fetch no longer blocks the next one.
constexpr framework::Duration FetchTimeout = std::chrono::seconds(1);

} // namespace

void SectionFetcher::fetchIfNewer(const std::string &PeerAddress,
                                  framework::Revision Advertised,
                                  framework::Revision Accepted,
                                  std::vector<SectionDigest> Known,
                                  framework::Instant Now, OutputList &Output) {
  if (Advertised <= Accepted)
    return;
  if (!FetchingFrom_.empty() && Now < Deadline_)
    return;
  FetchingFrom_ = PeerAddress;
  Deadline_ = Now + FetchTimeout;
  Output.push_back(
      FetchSections{PeerAddress, SectionRequest{Kind_, std::move(Known)}});
}

void SectionFetcher::finishFetch(const std::string &PeerAddress) {
  if (FetchingFrom_ == PeerAddress)
    FetchingFrom_.clear();
}

} // namespace cranberryspool::fleet
