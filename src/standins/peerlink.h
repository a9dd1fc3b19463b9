#ifndef CRANBERRYSPOOL_STANDINS_PEERLINK_H
#define CRANBERRYSPOOL_STANDINS_PEERLINK_H

#include "standins/linkendpoint.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cranberryspool::standins {

/// The network between instances: relays their datagrams and connections, and
/// parts them on demand. Used by the thread of its I/O context only.
class PeerLink {
public:
  PeerLink(boost::asio::io_context &Context,
           const std::vector<LinkEndpoint> &Endpoints);
  ~PeerLink();

  /// Parts the named instances from all others; an empty set joins all again.
  /// Connections across the cut go silent.
  void part(std::set<std::string> Names) { Parted_ = std::move(Names); }

  std::uint64_t relayedDatagrams() const { return Relayed_; }
  std::uint64_t droppedDatagrams() const { return Dropped_; }

private:
  class Port;
  class Tunnel;

  bool isJoined(const std::string &From, const std::string &To) const;
  std::string nameOf(const std::string &Ip) const;

  std::set<std::string> Parted_;
  std::map<std::string, std::string> NamesByIp_;
  std::vector<std::unique_ptr<Port>> Ports_;
  std::uint64_t Relayed_ = 0;
  std::uint64_t Dropped_ = 0;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_PEERLINK_H
