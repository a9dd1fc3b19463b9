#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SECTIONSREQUESTED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SECTIONSREQUESTED_H

#include "fleet/types/sectionrequest.h"

#include <cstdint>

namespace cranberryspool::decision {

/// A peer asks for sections. Answered by `ServeSections` with the same number.
struct SectionsRequested {
  std::uint64_t Request_ = 0;
  fleet::SectionRequest Wanted_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SECTIONSREQUESTED_H
