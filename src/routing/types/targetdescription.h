#ifndef CRANBERRYSPOOL_ROUTING_TYPES_TARGETDESCRIPTION_H
#define CRANBERRYSPOOL_ROUTING_TYPES_TARGETDESCRIPTION_H

#include "framework/ids.h"

#include <cstdint>

namespace cranberryspool::routing {

/// A target as the platform's list and the document give it.
struct TargetDescription {
  framework::TargetId Target_;
  framework::ServiceId Service_;
  framework::ZoneId Zone_;
  std::uint32_t Slots_ = 1;
  /// True when the list calls the target leaving or its zone is out.
  bool IsLeaving_ = false;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_TARGETDESCRIPTION_H
