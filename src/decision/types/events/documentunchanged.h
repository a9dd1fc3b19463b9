#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_DOCUMENTUNCHANGED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_DOCUMENTUNCHANGED_H

namespace cranberryspool::decision {

/// A watch of the configuration service ended without a newer revision.
struct DocumentUnchanged {};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_DOCUMENTUNCHANGED_H
