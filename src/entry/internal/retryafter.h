#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_RETRYAFTER_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_RETRYAFTER_H

#include "entry/types/httpprofile.h"
#include "framework/time.h"

#include <string>

namespace cranberryspool::entry {

/// Writes the value of a `Retry-After` field: whole seconds, at least one, or
/// milliseconds as a fraction where callers read that.
std::string retryAfterText(framework::Duration Wait, const HttpProfile &Spoken);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_RETRYAFTER_H
