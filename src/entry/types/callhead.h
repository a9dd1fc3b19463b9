#ifndef CRANBERRYSPOOL_ENTRY_TYPES_CALLHEAD_H
#define CRANBERRYSPOOL_ENTRY_TYPES_CALLHEAD_H

#include "document/types/urgency.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cranberryspool::entry {

/// What a caller asks for by header fields.
struct CallHead {
  std::optional<document::Urgency> Urgency_;
  std::optional<framework::Duration> Timeout_;
  std::optional<framework::IdempotencyKey> Key_;
  /// The caller's own id of this attempt, where it gives one.
  std::string AttemptId_;
  std::uint32_t Depth_ = 0;
  std::uint32_t Attempt_ = 1;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_CALLHEAD_H
