#ifndef CRANBERRYSPOOL_APPS_FLEETCOST_COSTSAMPLE_H
#define CRANBERRYSPOOL_APPS_FLEETCOST_COSTSAMPLE_H

#include <cstddef>

namespace cranberryspool::fleetcost {

/// The cost of control for one instance in a fleet of a given size. Bytes and
/// messages are counted per second and per instance, averaged over all
/// instances unless stated otherwise, sent and received together.
struct CostSample {
  std::size_t Instances_ = 0;
  std::size_t Targets_ = 0;
  /// Datagrams exchanged with other instances.
  double Messages_ = 0;
  /// Bytes of datagrams exchanged with other instances.
  double PeerBytes_ = 0;
  /// `PeerBytes_` of the instance with the highest value.
  double MaxPeerBytes_ = 0;
  /// Sections of the document and of the instance list, fetched in bulk.
  double BulkBytes_ = 0;
  /// Bytes read from the platform by the instance that reads most.
  double PlatformBytes_ = 0;
  /// Calls to the platform per second by the whole fleet.
  double PlatformCalls_ = 0;
  /// All bytes above, for the instance with the highest total.
  double MaxBytes_ = 0;
  /// Processor time in microseconds per second.
  double CpuMicroseconds_ = 0;
  /// Heap memory per instance.
  double MemoryBytes_ = 0;
  /// The size of the text of the document.
  double DocumentBytes_ = 0;
};

} // namespace cranberryspool::fleetcost

#endif // CRANBERRYSPOOL_APPS_FLEETCOST_COSTSAMPLE_H
