#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_FRESHNESS_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_FRESHNESS_H

#include "document/types/publishedinstance.h"
#include "fleet/internal/confirmation.h"
#include "fleet/internal/peertable.h"
#include "fleet/types/sectionkind.h"
#include "framework/time.h"

#include <optional>
#include <vector>

namespace cranberryspool::fleet {

/// What `freshUntil` judges by.
struct FreshnessEvidence {
  framework::Instant Now_;
  SectionKind Kind_;
  const Confirmation &Confirmed_;
  framework::Revision Accepted_;
  const PeerTable &Peers_;
  const std::vector<document::PublishedInstance> &Members_;
  const framework::InstanceName &Self_;
  /// When the latest own read began that failed.
  std::optional<framework::Instant> OwnFailure_;
};

/// Returns until when one published value may be acted on: `FreshBound` after
/// the platform confirmed it; without that, while more than half of the
/// published instances are known to be cut off from the platform alike.
framework::Instant freshUntil(const FreshnessEvidence &Evidence);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_FRESHNESS_H
