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
  /// The call is forwarded to another instance, which takes the place of the
  /// target.
  Forward,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_ATTEMPTKIND_H
