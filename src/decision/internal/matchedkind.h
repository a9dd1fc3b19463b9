#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_MATCHEDKIND_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_MATCHEDKIND_H

#include "calls/types/kindid.h"
#include "document/types/urgency.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>

namespace cranberryspool::decision {

/// How a request is treated under the document in force.
struct MatchedKind {
  framework::ServiceId Service_;
  calls::KindId Kind_;
  bool IsIdempotent_ = false;
  bool IsHedgingAllowed_ = false;
  document::Urgency Urgency_ = document::Urgency::Ordinary;
  /// The time in which the answer is due when the caller names none.
  framework::Duration Deadline_{};
  /// The longest time that a caller is kept waiting, whatever it asks for.
  framework::Duration LongestWait_ = framework::Duration::max();
  /// An answer within this time is worth most; zero when none is stated.
  framework::Duration LatencyObjective_{};
  /// Targets that may run the request; 0 for the instance's own limit.
  std::uint32_t MaxAttempts_ = 0;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_MATCHEDKIND_H
