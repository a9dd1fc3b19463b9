#ifndef CRANBERRYSPOOL_CALLS_TYPES_CALLSTATE_H
#define CRANBERRYSPOOL_CALLS_TYPES_CALLSTATE_H

namespace cranberryspool::calls {

/// Where an accepted call stands.
enum class CallState {
  /// The home of its idempotency key has been asked.
  AwaitingKey,
  /// The answer of an earlier call with the same key is being fetched.
  FetchingAnswer,
  /// Waits in the admission queue; no attempt is live.
  Queued,
  /// At least one attempt is live.
  Running,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_CALLSTATE_H
