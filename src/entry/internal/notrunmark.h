#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_NOTRUNMARK_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_NOTRUNMARK_H

#include "entry/internal/exchange.h"
#include "entry/types/httpprofile.h"

#include <string>

namespace cranberryspool::entry {

/// Adds the fields by which another instance recognises that its forwarded call
/// was not run. `AttemptId` is the one that it sent.
void markNotRun(Exchange::Response &Message, const std::string &AttemptId,
                const HttpProfile &Profile);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_NOTRUNMARK_H
