#ifndef CRANBERRYSPOOL_CALLS_ENDINGNAMES_H
#define CRANBERRYSPOOL_CALLS_ENDINGNAMES_H

#include "calls/types/ending.h"
#include "calls/types/endingreason.h"

#include <string_view>

/// The names of endings as used in response headers, metrics and golden
/// sessions.
namespace cranberryspool::calls {

/// Returns the value of the ending header.
std::string_view nameOf(Ending End);

/// Returns the value of the ending-reason header.
std::string_view nameOf(EndingReason Reason);

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_ENDINGNAMES_H
