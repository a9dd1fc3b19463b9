#ifndef CRANBERRYSPOOL_ENTRY_TYPES_CALLMETADATA_H
#define CRANBERRYSPOOL_ENTRY_TYPES_CALLMETADATA_H

#include "document/types/urgency.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cranberryspool::entry {

/// The call options that a caller sets by header fields.
struct CallMetadata {
  std::optional<document::Urgency> Urgency_;
  std::optional<framework::Duration> Timeout_;
  std::optional<framework::IdempotencyKey> Key_;
  /// The attempt id that the caller sent; empty when it sent none.
  std::string AttemptId_;
  /// The number of calls above this one in the call chain.
  std::uint32_t Depth_ = 0;
  /// The attempt number; above 1 when the caller repeats the call.
  std::uint32_t Attempt_ = 1;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_CALLMETADATA_H
