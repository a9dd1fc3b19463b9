#ifndef CRANBERRYSPOOL_DECISION_CHANGENAMES_H
#define CRANBERRYSPOOL_DECISION_CHANGENAMES_H

#include "decision/types/changekind.h"

#include <string_view>

namespace cranberryspool::decision {

/// Returns the name of a change as it appears in logs and recorded sessions.
std::string_view nameOf(ChangeKind Kind);

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_CHANGENAMES_H
