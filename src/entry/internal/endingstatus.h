#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_ENDINGSTATUS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_ENDINGSTATUS_H

#include "calls/endingnames.h"
#include "entry/types/headfault.h"

#include <string_view>

namespace cranberryspool::entry {

/// The HTTP status of a call that ends without a target's answer.
unsigned statusOf(calls::Ending Ending, calls::EndingReason Reason);

/// The HTTP status of a request whose head is not accepted.
unsigned statusOf(HeadFault Fault);

/// The value of the ending-reason header of a request that is not accepted.
std::string_view nameOf(HeadFault Fault);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_ENDINGSTATUS_H
