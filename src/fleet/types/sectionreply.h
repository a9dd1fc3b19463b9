#ifndef CRANBERRYSPOOL_FLEET_TYPES_SECTIONREPLY_H
#define CRANBERRYSPOOL_FLEET_TYPES_SECTIONREPLY_H

#include "document/types/documentsection.h"
#include "fleet/types/sectiondigest.h"
#include "fleet/types/sectionkind.h"
#include "framework/ids.h"

#include <vector>

namespace cranberryspool::fleet {

/// The value that a peer has accepted, without the sections that the requester
/// already has.
struct SectionReply {
  SectionKind Kind_ = SectionKind::Document;
  framework::Revision Revision_;
  /// All sections of the value, sorted by name.
  std::vector<SectionDigest> Manifest_;
  /// The sections that the requester does not have.
  std::vector<document::DocumentSection> Changed_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_SECTIONREPLY_H
