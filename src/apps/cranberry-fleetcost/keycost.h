#ifndef CRANBERRYSPOOL_APPS_FLEETCOST_KEYCOST_H
#define CRANBERRYSPOOL_APPS_FLEETCOST_KEYCOST_H

namespace cranberryspool::fleetcost {

/// The cost of handling a call with an idempotency key.
struct KeyCost {
  /// Bytes of the datagrams of one call, including IP and UDP headers: request,
  /// reply, ending and acknowledgement. The instance that requests the key and
  /// the instance that owns it each carry all of them.
  double BytesPerCall_ = 0;
  /// Heap memory of one key record at the instance that owns the key.
  double BytesPerRecord_ = 0;
};

/// Measures the size of the messages and of the records of keys.
KeyCost measureKeyCost();

} // namespace cranberryspool::fleetcost

#endif // CRANBERRYSPOOL_APPS_FLEETCOST_KEYCOST_H
