#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_URGENCY_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_URGENCY_H

namespace cranberryspool::document {

/// The priority class of a request. Urgent requests are served first.
enum class Urgency { Urgent, Ordinary };

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_URGENCY_H
