#ifndef CRANBERRYSPOOL_CALLS_TYPES_ENDING_H
#define CRANBERRYSPOOL_CALLS_TYPES_ENDING_H

namespace cranberryspool::calls {

/// The outcome of an accepted call that is reported to its caller.
enum class Ending {
  /// The caller got the complete response of a target.
  Answered,
  /// The request has not run and will not run.
  NotRun,
  /// The request may have run or may still run.
  Unknown,
  /// The deadline passed before any attempt was sent: the request did not run.
  DeadlinePassed,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_ENDING_H
