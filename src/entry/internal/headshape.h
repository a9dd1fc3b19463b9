#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_HEADSHAPE_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_HEADSHAPE_H

#include "entry/types/headfault.h"
#include "framework/result.h"

#include <string_view>

namespace cranberryspool::entry {

/// Checks the raw bytes of a request head, up to and including the empty line,
/// for shapes on which two readers could disagree (RFC 9112, sections 2.2, 5.2,
/// 6.1 and 6.3): folded fields, bare line ends, doubled or contradictory
/// lengths, unknown transfer codings. The HTTP library then parses the head.
framework::Result<void, HeadFault> checkHeadShape(std::string_view Raw);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_HEADSHAPE_H
