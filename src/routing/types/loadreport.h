#ifndef CRANBERRYSPOOL_ROUTING_TYPES_LOADREPORT_H
#define CRANBERRYSPOOL_ROUTING_TYPES_LOADREPORT_H

#include "framework/time.h"

#include <cstdint>
#include <optional>

namespace cranberryspool::routing {

/// What a target says of its own load, on an answer or to a probe. It may be
/// late or wrong.
struct LoadReport {
  std::uint32_t InFlight_ = 0;
  std::uint32_t Queued_ = 0;
  std::uint32_t Slots_ = 0;
  bool IsCold_ = false;
  bool IsDraining_ = false;
  /// How long work takes on the target's machine now: 100 is as usual. Nothing
  /// when the target does not tell.
  std::optional<std::uint32_t> SlowdownPercent_ = std::nullopt;
  /// How long the target stays cold; nothing when it does not tell.
  std::optional<framework::Duration> WarmupLeft_ = std::nullopt;

  friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_LOADREPORT_H
