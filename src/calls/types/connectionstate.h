#ifndef CRANBERRYSPOOL_CALLS_TYPES_CONNECTIONSTATE_H
#define CRANBERRYSPOOL_CALLS_TYPES_CONNECTIONSTATE_H

namespace cranberryspool::calls {

/// Where an open or opening connection stands.
enum class ConnectionState {
  Opening,
  Idle,
  /// Carries an attempt.
  Busy,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_CONNECTIONSTATE_H
