#ifndef CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTSTATE_H
#define CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTSTATE_H

namespace cranberryspool::calls {

/// The state of a live attempt.
enum class AttemptState {
  /// Nothing has been written; the connection is being opened.
  WaitingForConnection,
  /// The request has been passed to the transport.
  Sent,
  /// The call has ended, but the target may still run the request. The attempt
  /// is not cancelled because the request is not idempotent.
  Abandoned,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTSTATE_H
