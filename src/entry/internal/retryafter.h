#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_RETRYAFTER_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_RETRYAFTER_H

#include "entry/types/httpprofile.h"
#include "framework/time.h"

#include <string>

namespace cranberryspool::entry {

/// Formats the value of a `Retry-After` field: whole seconds, at least one, or
/// seconds with three decimal places where callers accept fractions.
std::string retryAfterText(framework::Duration Wait,
                           const HttpProfile &Profile);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_RETRYAFTER_H
