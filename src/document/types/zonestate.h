#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_ZONESTATE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_ZONESTATE_H

namespace cranberryspool::document {

/// Whether an availability zone takes work. `Out` means that no new work is
/// sent to its targets.
enum class ZoneState { InService, OutOfService };

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_ZONESTATE_H
