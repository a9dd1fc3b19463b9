#ifndef CRANBERRYSPOOL_FLEET_TYPES_KEYOUTCOME_H
#define CRANBERRYSPOOL_FLEET_TYPES_KEYOUTCOME_H

namespace cranberryspool::fleet {

/// What the home of a key knows of the call that it admitted.
enum class KeyOutcome {
  Running,
  /// Answered; the runner keeps the answer.
  AnswerKept,
  /// Ended; the request ran or may have run, and no answer is kept.
  AnswerUnavailable,
  /// Ended as not run: another call may run.
  NotRun,
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_KEYOUTCOME_H
