#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_KEPTANSWERFETCHED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_KEPTANSWERFETCHED_H

#include "framework/ids.h"

namespace cranberryspool::decision {

/// The answer kept by a peer for an earlier call with the same key was fetched,
/// or could not be had.
struct KeptAnswerFetched {
  framework::CallId Call_;
  bool IsFound_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_KEPTANSWERFETCHED_H
