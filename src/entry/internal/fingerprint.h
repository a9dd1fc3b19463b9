#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_FINGERPRINT_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_FINGERPRINT_H

#include "calls/types/requestfingerprint.h"

#include <string_view>

namespace cranberryspool::entry {

struct CallerRequest;

/// Computes the fingerprint (XXH3, 128 bits) of a complete request.
calls::RequestFingerprint computeFingerprint(const CallerRequest &Request,
                                             std::string_view Host);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_FINGERPRINT_H
