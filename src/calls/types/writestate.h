#ifndef CRANBERRYSPOOL_CALLS_TYPES_WRITESTATE_H
#define CRANBERRYSPOOL_CALLS_TYPES_WRITESTATE_H

namespace cranberryspool::calls {

/// How much of an attempt's request may have reached its target.
enum class WriteState {
  /// No byte has been passed to the transport.
  NothingWritten,
  /// Some bytes may have reached the target.
  MaybeWritten,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_WRITESTATE_H
