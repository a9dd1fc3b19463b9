#ifndef CRANBERRYSPOOL_ROUTING_TYPES_ATTEMPTRESULT_H
#define CRANBERRYSPOOL_ROUTING_TYPES_ATTEMPTRESULT_H

namespace cranberryspool::routing {

/// How an attempt at a target ended, as routing sees it.
enum class AttemptResult {
  Answered,
  /// An answer that says that the target failed (5xx).
  ServerError,
  /// The target said that it did not run the request.
  NotRun,
  ConnectionFailed,
  /// No connection could be opened, so nothing was sent.
  NotConnected,
  /// The connection was judged silent; the target is not at fault.
  ConnectionSilent,
  TimedOut,
  /// Cancelled by this instance, for example the losing attempt of a hedge.
  Cancelled,
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_ATTEMPTRESULT_H
