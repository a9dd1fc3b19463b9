#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_ENDINGSTATUS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_ENDINGSTATUS_H

#include "calls/endingnames.h"
#include "entry/types/requestheaderror.h"

#include <string_view>

namespace cranberryspool::entry {

/// Returns the HTTP status for a call that ends without a target's response.
unsigned statusOf(calls::Ending Ending, calls::EndingReason Reason);

/// Returns the HTTP status for a request whose head is rejected.
unsigned statusOf(RequestHeadError Error);

/// Returns the value of the ending-reason header for a request whose head is
/// rejected.
std::string_view nameOf(RequestHeadError Error);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_ENDINGSTATUS_H
