#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_ZONE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_ZONE_H

#include "document/types/zonestate.h"
#include "framework/ids.h"

namespace cranberryspool::document {

/// An availability zone and its operational state.
struct Zone {
  framework::ZoneName Name_;
  ZoneState State_ = ZoneState::InService;

  friend bool operator==(const Zone &, const Zone &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_ZONE_H
