#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SECTIONSUNAVAILABLE_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SECTIONSUNAVAILABLE_H

#include <string>

namespace cranberryspool::decision {

/// A peer did not answer `FetchSections` in time.
struct SectionsUnavailable {
  std::string PeerAddress_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SECTIONSUNAVAILABLE_H
