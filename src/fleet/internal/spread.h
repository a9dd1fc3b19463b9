#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SPREAD_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SPREAD_H

#include "fleet/output.h"
#include "fleet/types/sectionkind.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <optional>
#include <string>

namespace cranberryspool::fleet {

/// Fetches a newer published value from the peer that told of it, one fetch at
/// a time.
class Spread {
public:
  explicit Spread(SectionKind Kind) : Kind_(Kind) {}

  /// A peer has a revision. Starts a fetch when it is newer than the accepted
  /// one and none is under way.
  void notePeerRevision(const std::string &PeerAddress,
                        framework::Revision Offered,
                        framework::Revision Accepted,
                        std::vector<SectionDigest> Have, framework::Instant Now,
                        OutputList &Output);
  /// The fetch ended, with or without a value.
  void noteEnded(const std::string &PeerAddress);

private:
  SectionKind Kind_;
  std::string FetchingFrom_;
  framework::Instant GiveUpAt_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SPREAD_H
