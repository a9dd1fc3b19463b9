#ifndef CRANBERRYSPOOL_CALLS_TYPES_WRITESTATE_H
#define CRANBERRYSPOOL_CALLS_TYPES_WRITESTATE_H

namespace cranberryspool::calls {

/// How much of an attempt can have reached its target.
enum class WriteState {
  /// No byte was handed to the transport.
  NothingWritten,
  /// Some bytes may have reached the target.
  MaybeWritten,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_WRITESTATE_H
