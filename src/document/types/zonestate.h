#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_ZONESTATE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_ZONESTATE_H

namespace cranberryspool::document {

/// Whether an availability zone receives traffic. No new requests are sent to
/// the targets of a zone that is out of service.
enum class ZoneState { InService, OutOfService };

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_ZONESTATE_H
