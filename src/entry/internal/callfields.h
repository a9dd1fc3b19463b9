#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_CALLFIELDS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_CALLFIELDS_H

#include "entry/types/callhead.h"
#include "entry/types/headerfield.h"
#include "entry/types/headfault.h"
#include "entry/types/httpprofile.h"
#include "framework/result.h"

#include <vector>

namespace cranberryspool::entry {

/// Reads what a caller asks for out of the fields of its request. An
/// unreadable priority is ignored, as RFC 9218 wants it; any other unreadable
/// field is a fault, since the caller would not get what it asked for.
framework::Result<CallHead, HeadFault>
readCallFields(const std::vector<HeaderField> &Fields,
               const HttpProfile &Spoken);

/// Returns the end-to-end fields of a request: without hop-by-hop fields, those
/// that `Connection` names, and those that the system itself writes.
std::vector<HeaderField>
forwardableRequestFields(const std::vector<HeaderField> &Fields,
                         const HttpProfile &Spoken);

/// Returns the end-to-end fields of an answer, likewise.
std::vector<HeaderField>
forwardableAnswerFields(const std::vector<HeaderField> &Fields,
                        const HttpProfile &Spoken);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_CALLFIELDS_H
