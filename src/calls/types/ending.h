#ifndef CRANBERRYSPOOL_CALLS_TYPES_ENDING_H
#define CRANBERRYSPOOL_CALLS_TYPES_ENDING_H

namespace cranberryspool::calls {

/// How an accepted call ends towards its caller.
enum class Ending {
  /// The whole answer of a target was given.
  Answered,
  /// The request did not run and will not.
  NotRun,
  /// The request may have run or may still run.
  Unknown,
  /// The deadline passed before any attempt was sent: the request did not run.
  DeadlinePassed,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_ENDING_H
