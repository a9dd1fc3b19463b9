#ifndef CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_FETCHKEPTANSWER_H
#define CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_FETCHKEPTANSWER_H

#include "framework/ids.h"

#include <string>

namespace cranberryspool::decision {

/// Fetch the answer that a peer keeps for an idempotency key. Answered by
/// `KeptAnswerFetched`.
struct FetchKeptAnswer {
  framework::CallId Call_;
  std::string PeerAddress_;
  /// The identifier that the peer uses for the call.
  framework::CallId PeerCall_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_ACTIONS_FETCHKEPTANSWER_H
