#ifndef CRANBERRYSPOOL_DECISION_CHANGENAMES_H
#define CRANBERRYSPOOL_DECISION_CHANGENAMES_H

#include "decision/types/changekind.h"

#include <string_view>

namespace cranberryspool::decision {

/// Returns the name of a change in logs and sessions.
std::string_view nameOf(ChangeKind Kind);

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_CHANGENAMES_H
