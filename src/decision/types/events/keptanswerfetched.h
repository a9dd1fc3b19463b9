#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_KEPTANSWERFETCHED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_KEPTANSWERFETCHED_H

#include "framework/ids.h"

namespace cranberryspool::decision {

/// The request for an answer that a peer keeps for an earlier call with the
/// same idempotency key has completed.
struct KeptAnswerFetched {
  framework::CallId Call_;
  bool IsFound_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_KEPTANSWERFETCHED_H
