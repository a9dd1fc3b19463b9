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
  /// Changes when the target starts anew; 0 when the list does not tell.
  framework::Incarnation Start_{};
  /// How long the target stays cold. When it is told, a cold start is never
  /// inferred from resets or slow answers.
  std::optional<framework::Duration> WarmupLeft_ = std::nullopt;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_TARGETDESCRIPTION_H
