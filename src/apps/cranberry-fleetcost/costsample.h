#ifndef CRANBERRYSPOOL_APPS_FLEETCOST_COSTSAMPLE_H
#define CRANBERRYSPOOL_APPS_FLEETCOST_COSTSAMPLE_H

#include <cstddef>

namespace cranberryspool::fleetcost {

/// What control costs a node in one size of fleet. Bytes and messages are a
/// second and a node, sent and received together.
struct CostSample {
  std::size_t Instances_ = 0;
  std::size_t Targets_ = 0;
  double Messages_ = 0;
  /// Datagrams among instances.
  double PeerBytes_ = 0;
  double LargestPeerBytes_ = 0;
  /// Sections of the document and the list.
  double BulkBytes_ = 0;
  /// Reads of the platform, at the node that reads most.
  double PlatformBytes_ = 0;
  /// Calls to the platform a second by the whole fleet.
  double PlatformCalls_ = 0;
  /// All of the above at the node that spends most.
  double LargestBytes_ = 0;
  /// Processor time in microseconds a second.
  double BusyMicroseconds_ = 0;
  double MemoryBytes_ = 0;
  /// The text of the document.
  double DocumentBytes_ = 0;
};

} // namespace cranberryspool::fleetcost

#endif // CRANBERRYSPOOL_APPS_FLEETCOST_COSTSAMPLE_H
