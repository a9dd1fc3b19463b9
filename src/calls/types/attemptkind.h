#ifndef CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTKIND_H
#define CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTKIND_H

namespace cranberryspool::calls {

/// The reason why an attempt was started.
enum class AttemptKind {
  First,
  /// An earlier attempt of the call had failed.
  Retry,
  /// An earlier attempt of the call was still running.
  Hedge,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTKIND_H
