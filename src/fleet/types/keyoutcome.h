#ifndef CRANBERRYSPOOL_FLEET_TYPES_KEYOUTCOME_H
#define CRANBERRYSPOOL_FLEET_TYPES_KEYOUTCOME_H

namespace cranberryspool::fleet {

/// The state of a call that the owner of its key has admitted.
enum class KeyOutcome {
  Running,
  /// The call was answered and its runner stores the response.
  ResponseStored,
  /// The call ended after the request ran or may have run, and no response is
  /// stored.
  ResponseUnavailable,
  /// The call ended without running: another call with the key may run.
  NotRun,
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_KEYOUTCOME_H
