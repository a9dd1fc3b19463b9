#ifndef CRANBERRYSPOOL_STANDINS_PEERNETWORKPROXY_H
#define CRANBERRYSPOOL_STANDINS_PEERNETWORKPROXY_H

#include "standins/peerendpoint.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cranberryspool::standins {

/// A proxy for the network between instances. Relays their datagrams and
/// connections, and simulates network partitions on demand. Used only by the
/// thread of its I/O context.
class PeerNetworkProxy {
public:
  PeerNetworkProxy(boost::asio::io_context &Context,
                   const std::vector<PeerEndpoint> &Endpoints);
  ~PeerNetworkProxy();

  /// Partitions the named instances from all others. An empty set ends the
  /// partition. Connections across the partition stop carrying data without
  /// being closed.
  void partition(std::set<std::string> Names) {
    PartitionedInstances_ = std::move(Names);
  }

  std::uint64_t relayedDatagrams() const { return RelayedDatagrams_; }
  std::uint64_t droppedDatagrams() const { return DroppedDatagrams_; }

private:
  class EndpointProxy;
  class RelayedConnection;

  bool isConnected(const std::string &From, const std::string &To) const;
  std::string findInstanceName(const std::string &Ip) const;

  std::set<std::string> PartitionedInstances_;
  std::map<std::string, std::string> InstancesByIp_;
  std::vector<std::unique_ptr<EndpointProxy>> Proxies_;
  std::uint64_t RelayedDatagrams_ = 0;
  std::uint64_t DroppedDatagrams_ = 0;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_PEERNETWORKPROXY_H
