#ifndef CRANBERRYSPOOL_CALLS_TYPES_CALLSTATE_H
#define CRANBERRYSPOOL_CALLS_TYPES_CALLSTATE_H

namespace cranberryspool::calls {

/// The state of an accepted call.
enum class CallState {
  /// The call waits for the permission of its idempotency key's owner.
  AwaitingKey,
  /// The stored response of an earlier call with the same key is being fetched.
  FetchingAnswer,
  /// The call waits for a credit of its workspace's quota.
  AwaitingQuota,
  /// The call waits in the admission queue; no attempt is live.
  Queued,
  /// At least one attempt is live.
  Running,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_CALLSTATE_H
