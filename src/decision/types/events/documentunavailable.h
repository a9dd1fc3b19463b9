#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_DOCUMENTUNAVAILABLE_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_DOCUMENTUNAVAILABLE_H

namespace cranberryspool::decision {

/// A read or watch of the configuration service failed or timed out.
struct DocumentUnavailable {};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_DOCUMENTUNAVAILABLE_H
