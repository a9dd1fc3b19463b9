#ifndef CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTKIND_H
#define CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTKIND_H

namespace cranberryspool::calls {

/// Why an attempt was started.
enum class AttemptKind {
  First,
  /// After an earlier attempt of the call had failed.
  Retry,
  /// While an earlier attempt of the call was still running.
  Hedge,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTKIND_H
