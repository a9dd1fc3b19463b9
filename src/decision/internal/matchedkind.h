#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_MATCHEDKIND_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_MATCHEDKIND_H

#include "calls/types/kindid.h"
#include "document/types/urgency.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>

namespace cranberryspool::decision {

/// The rules that apply to a request under the document in force.
struct MatchedKind {
  framework::ServiceId Service_;
  calls::KindId Kind_;
  bool IsIdempotent_ = false;
  bool IsHedgingAllowed_ = false;
  /// True when requests without a key are served, where workspaces exist.
  bool IsAnonymousAllowed_ = false;
  document::Urgency Urgency_ = document::Urgency::Ordinary;
  /// The rank within the urgency class; 0 is served first.
  std::uint32_t Priority_ = 0;
  /// The timeout of a call whose caller states none.
  framework::Duration Deadline_{};
  /// The upper bound of the timeout, whatever the caller requests.
  framework::Duration LongestWait_ = framework::Duration::max();
  /// The latency objective of the route; zero if none is stated.
  framework::Duration LatencyObjective_{};
  /// The maximum number of attempts; 0 for the default of the instance.
  std::uint32_t MaxAttempts_ = 0;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_MATCHEDKIND_H
