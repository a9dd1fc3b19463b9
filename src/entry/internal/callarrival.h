#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_CALLARRIVAL_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_CALLARRIVAL_H

#include "decision/types/events/callarrived.h"

#include <string_view>

namespace cranberryspool::entry {

struct CallerRequest;
struct CallMetadata;

/// Returns the event for a request whose head has been read. The credential,
/// the forwarding instance and everything that depends on the body are left
/// unset.
decision::CallArrived makeArrival(const CallerRequest &Request,
                                  std::string_view Host,
                                  const CallMetadata &Metadata);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_CALLARRIVAL_H
