#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_URGENCY_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_URGENCY_H

namespace cranberryspool::document {

/// How much a request suffers from waiting. Urgent requests are served first.
enum class Urgency { Urgent, Ordinary };

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_URGENCY_H
