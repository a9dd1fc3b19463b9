#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_HEADVALIDATION_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_HEADVALIDATION_H

#include "entry/types/requestheaderror.h"
#include "framework/result.h"

#include <string_view>

namespace cranberryspool::entry {

/// Validates the raw bytes of a request head, up to and including the empty
/// line, and rejects forms that two parsers could read differently, as request
/// smuggling exploits (RFC 9112, sections 2.2, 5.2, 6.1 and 6.3): folded
/// fields, bare line ends, repeated or contradictory lengths, unknown transfer
/// codings. The HTTP library parses the head afterwards.
framework::Result<void, RequestHeadError>
validateRequestHead(std::string_view Head);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_HEADVALIDATION_H
