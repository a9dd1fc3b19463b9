#ifndef CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTFAILURE_H
#define CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTFAILURE_H

namespace cranberryspool::calls {

/// Why the transport gave up on an attempt.
enum class AttemptFailure {
  ConnectionClosed,
  ConnectionReset,
  Truncated,
  Malformed,
  AnswerTooLarge,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTFAILURE_H
