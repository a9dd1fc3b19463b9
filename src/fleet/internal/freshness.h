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

/// The input of `freshUntil`.
struct FreshnessEvidence {
  framework::Instant Now_;
  SectionKind Kind_;
  const Confirmation &Confirmation_;
  framework::Revision Accepted_;
  const PeerTable &Peers_;
  const std::vector<document::PublishedInstance> &Members_;
  const framework::InstanceName &Self_;
  /// When the latest failed read of this instance started.
  std::optional<framework::Instant> FailedReadStartedAt_;
};

/// Returns until when a published value may be used: `MaxConfirmationAge` after
/// the platform confirmed it. Without a recent confirmation, the value may be
/// used as long as more than half of the published instances are known to have
/// lost the platform too.
framework::Instant freshUntil(const FreshnessEvidence &Evidence);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_FRESHNESS_H
