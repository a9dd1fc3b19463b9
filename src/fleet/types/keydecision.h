#ifndef CRANBERRYSPOOL_FLEET_TYPES_KEYDECISION_H
#define CRANBERRYSPOOL_FLEET_TYPES_KEYDECISION_H

namespace cranberryspool::fleet {

/// The decision on a call that carries an idempotency key.
enum class KeyDecision {
  /// The key is new: run the call.
  Run,
  /// An earlier call with the key was answered; replay its stored response.
  Replay,
  /// An earlier call with the key is running.
  InProgress,
  /// An earlier call with the key has ended, but its response is not available.
  ResponseUnavailable,
  /// The key may have been used at a time from which the owner has no records.
  TooOld,
  /// The owner of the key did not respond in time.
  OwnerUnreachable,
  /// The key is not a UUID version 7, or was created in the future.
  Invalid,
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_KEYDECISION_H
