#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SECTIONFETCHER_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SECTIONFETCHER_H

#include "fleet/output.h"
#include "fleet/types/sectionkind.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <optional>
#include <string>

namespace cranberryspool::fleet {

/// Fetches a newer published value from the peer that advertised it, with one
/// fetch at a time.
class SectionFetcher {
public:
  explicit SectionFetcher(SectionKind Kind) : Kind_(Kind) {}

  /// Starts a fetch when the advertised revision is newer than the accepted one
  /// and no other fetch is in progress.
  void fetchIfNewer(const std::string &PeerAddress,
                    framework::Revision Advertised,
                    framework::Revision Accepted,
                    std::vector<SectionDigest> Known, framework::Instant Now,
                    OutputList &Output);
  /// Must be called when a fetch has ended, with or without a value.
  void finishFetch(const std::string &PeerAddress);

private:
  SectionKind Kind_;
  std::string FetchingFrom_;
  framework::Instant Deadline_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SECTIONFETCHER_H
