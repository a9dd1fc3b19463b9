#ifndef CRANBERRYSPOOL_FLEET_TYPES_KEYDECISION_H
#define CRANBERRYSPOOL_FLEET_TYPES_KEYDECISION_H

namespace cranberryspool::fleet {

/// What an instance may do with a call that carries an idempotency key.
enum class KeyDecision {
  /// First sight of the key: run the call.
  Run,
  /// An earlier call with the key was answered; its answer is kept.
  Replay,
  /// An earlier call with the key is running.
  InProgress,
  /// An earlier call with the key ended, but its answer is not kept.
  AnswerUnavailable,
  /// The key is older than the home's knowledge of it reaches.
  TooOld,
  /// The instance responsible for the key did not answer in time.
  OwnerUnreachable,
  /// Not a UUID version 7, or its time lies in the future.
  Invalid,
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_KEYDECISION_H
