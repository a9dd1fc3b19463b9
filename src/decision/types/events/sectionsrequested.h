#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SECTIONSREQUESTED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SECTIONSREQUESTED_H

#include "fleet/types/sectionrequest.h"

#include <cstdint>

namespace cranberryspool::decision {

/// A peer requests sections of a published value. Answered by `ServeSections`
/// with the same request number.
struct SectionsRequested {
  std::uint64_t Request_ = 0;
  fleet::SectionRequest Sections_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SECTIONSREQUESTED_H
