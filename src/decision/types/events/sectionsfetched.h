#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SECTIONSFETCHED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SECTIONSFETCHED_H

#include "fleet/types/sectionreply.h"

#include <string>

namespace cranberryspool::decision {

/// A peer answered `FetchSections`.
struct SectionsFetched {
  std::string PeerAddress_;
  fleet::SectionReply Reply_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SECTIONSFETCHED_H
