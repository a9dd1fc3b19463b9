#ifndef CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTSTATE_H
#define CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTSTATE_H

namespace cranberryspool::calls {

/// Where a live attempt stands.
enum class AttemptState {
  /// Nothing was written; its connection is being opened.
  WaitingForConnection,
  /// The request was handed to the transport.
  Sent,
  /// The call has ended, but the target may still work on the attempt, which
  /// is left to finish because it is not idempotent.
  Abandoned,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTSTATE_H
