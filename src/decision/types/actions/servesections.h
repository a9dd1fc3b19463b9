#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_SERVESECTIONS_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_SERVESECTIONS_H

#include "fleet/types/sectionreply.h"

#include <cstdint>

namespace cranberryspool::decision {

/// Answer a peer's request for sections.
struct ServeSections {
  std::uint64_t Request_ = 0;
  fleet::SectionReply Reply_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_SERVESECTIONS_H
