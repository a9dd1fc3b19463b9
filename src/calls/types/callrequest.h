#ifndef CRANBERRYSPOOL_CALLS_TYPES_CALLREQUEST_H
#define CRANBERRYSPOOL_CALLS_TYPES_CALLREQUEST_H

#include "calls/types/kindid.h"
#include "document/types/urgency.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <optional>

namespace cranberryspool::calls {

/// What is known of a call when it is accepted.
struct CallRequest {
  framework::CallId Call_;
  framework::ServiceId Service_;
  KindId Kind_;
  document::Urgency Urgency_ = document::Urgency::Ordinary;
  bool IsIdempotent_ = false;
  bool IsHedgingAllowed_ = false;
  framework::Instant Arrival_{};
  framework::Instant Deadline_{};
  /// How many calls stand above this one.
  std::uint32_t Depth_ = 0;
  /// 1 unless an instance above already repeats the call.
  std::uint32_t AttemptNumber_ = 1;
  std::optional<framework::IdempotencyKey> Key_;
  /// Targets to which it may be sent.
  std::uint32_t MaxAttempts_ = 1;
  /// An answer within this time is worth most; zero when none is stated.
  framework::Duration LatencyObjective_{};
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_CALLREQUEST_H
