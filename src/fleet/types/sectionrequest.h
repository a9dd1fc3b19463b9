#ifndef CRANBERRYSPOOL_FLEET_TYPES_SECTIONREQUEST_H
#define CRANBERRYSPOOL_FLEET_TYPES_SECTIONREQUEST_H

#include "fleet/types/sectiondigest.h"
#include "fleet/types/sectionkind.h"

#include <vector>

namespace cranberryspool::fleet {

/// Asks a peer for the sections of a published value that the sender does not
/// have.
struct SectionRequest {
  SectionKind Kind_ = SectionKind::Document;
  /// The sections that the sender already has, sorted by name.
  std::vector<SectionDigest> Have_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_SECTIONREQUEST_H
