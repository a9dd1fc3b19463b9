#ifndef CRANBERRYSPOOL_APPS_FLEETCOST_KEYCOST_H
#define CRANBERRYSPOOL_APPS_FLEETCOST_KEYCOST_H

namespace cranberryspool::fleetcost {

/// What an idempotency key costs.
struct KeyCost {
  /// Datagrams of one call with their headers: request, reply, ending and its
  /// acknowledgement. The runner and the home each carry all of them.
  double BytesPerCall_ = 0;
  /// The heap of one record at the home.
  double BytesPerRecord_ = 0;
};

KeyCost measureKeyCost();

} // namespace cranberryspool::fleetcost

#endif // CRANBERRYSPOOL_APPS_FLEETCOST_KEYCOST_H
