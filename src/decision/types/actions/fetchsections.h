#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_FETCHSECTIONS_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_FETCHSECTIONS_H

#include "fleet/types/sectionrequest.h"

#include <string>

namespace cranberryspool::decision {

/// Fetch sections of a published value from a peer. Answered by
/// `SectionsFetched` or `SectionsUnavailable`.
struct FetchSections {
  std::string PeerAddress_;
  fleet::SectionRequest Request_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_FETCHSECTIONS_H
