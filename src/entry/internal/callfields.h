#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_CALLFIELDS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_CALLFIELDS_H

#include "entry/types/callmetadata.h"
#include "entry/types/headerfield.h"
#include "entry/types/httpprofile.h"
#include "entry/types/requestheaderror.h"
#include "framework/result.h"

#include <vector>

namespace cranberryspool::entry {

/// Reads the call options from the header fields of a request. An invalid
/// priority is ignored, as RFC 9218 requires; any other invalid field is an
/// error, since the call would not be handled as the caller intended.
framework::Result<CallMetadata, RequestHeadError>
readCallFields(const std::vector<HeaderField> &Fields,
               const HttpProfile &Profile);

/// Returns the end-to-end fields of a request: all but hop-by-hop fields,
/// fields named by `Connection`, and fields that the instance itself writes.
std::vector<HeaderField>
forwardableRequestFields(const std::vector<HeaderField> &Fields,
                         const HttpProfile &Profile);

/// Returns the end-to-end fields of a response, selected by the same rules as
/// those of a request.
std::vector<HeaderField>
forwardableResponseFields(const std::vector<HeaderField> &Fields,
                          const HttpProfile &Profile);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_CALLFIELDS_H
