#ifndef CRANBERRYSPOOL_CALLS_TYPES_CONNECTIONSTATE_H
#define CRANBERRYSPOOL_CALLS_TYPES_CONNECTIONSTATE_H

namespace cranberryspool::calls {

/// The state of an open or opening connection.
enum class ConnectionState {
  Opening,
  Idle,
  /// An attempt uses the connection.
  Busy,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_CONNECTIONSTATE_H
