#ifndef CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTFAILURE_H
#define CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTFAILURE_H

namespace cranberryspool::calls {

/// The reason why an attempt failed in the transport.
enum class AttemptFailure {
  ConnectionClosed,
  ConnectionReset,
  Truncated,
  Malformed,
  AnswerTooLarge,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTFAILURE_H
