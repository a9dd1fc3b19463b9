#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_FETCHSECTIONS_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_FETCHSECTIONS_H

#include "fleet/types/sectionrequest.h"

#include <string>

namespace cranberryspool::fleet {

/// Requests fetching sections from a peer. Answered by `handleSections` or
/// `handleSectionsUnavailable`.
struct FetchSections {
  std::string PeerAddress_;
  SectionRequest Request_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_FETCHSECTIONS_H
