#ifndef CRANBERRYSPOOL_ROUTING_TYPES_LOADREPORT_H
#define CRANBERRYSPOOL_ROUTING_TYPES_LOADREPORT_H

#include "framework/time.h"
#include "routing/types/requestrate.h"

#include <cstdint>
#include <optional>

namespace cranberryspool::routing {

/// The load that a target reports with a response or to a probe. A report may
/// be outdated or wrong.
struct LoadReport {
  std::uint32_t InFlight_ = 0;
  std::uint32_t Queued_ = 0;
  std::uint32_t Slots_ = 0;
  bool IsCold_ = false;
  bool IsDraining_ = false;
  /// How long work currently takes on the target's machine, in percent of the
  /// usual time. Absent when the target does not report it.
  std::optional<std::uint32_t> SlowdownPercent_ = std::nullopt;
  /// How long the target stays cold. Absent when the target does not report it.
  std::optional<framework::Duration> WarmupLeft_ = std::nullopt;
  /// The rate that the target accepts from all instances together, unlimited
  /// when it names none. Absent when the response leaves that open, as those of
  /// probes may.
  std::optional<RequestRate> RequestLimit_ = std::nullopt;

  friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_LOADREPORT_H
