#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_FINGERPRINT_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_FINGERPRINT_H

#include "calls/types/requestfingerprint.h"
#include "workspaces/types/credential.h"

#include <string_view>

namespace cranberryspool::entry {

struct CallerRequest;

/// Computes the fingerprint (XXH3, 128 bits) of a complete request. Requests
/// with different keys differ, so that one workspace cannot have the requests
/// of another one refused.
calls::RequestFingerprint
computeFingerprint(const CallerRequest &Request, std::string_view Host,
                   const workspaces::Credential &Presented = {});

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_FINGERPRINT_H
