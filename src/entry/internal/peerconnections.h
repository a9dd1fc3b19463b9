#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PEERCONNECTIONS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PEERCONNECTIONS_H

#include "entry/types/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cranberryspool::entry {

class PeerConnection;

/// The connections over which messages travel that must not be lost on their
/// way. One is opened when a message is sent to an instance for the first time,
/// and closed when it was not used for a while. Messages that cannot be sent in
/// time are dropped.
class PeerConnections {
public:
  using Handler = std::function<void(std::span<const std::uint8_t>)>;

  /// `OnMessage` is called with each message that arrives.
  PeerConnections(boost::asio::io_context &Io,
                  boost::asio::ip::tcp::acceptor Acceptor, Handler OnMessage);
  ~PeerConnections();

  void send(const Endpoint &Peer, const std::vector<std::uint8_t> &Message);

  void handle(std::span<const std::uint8_t> Message) const {
    OnMessage_(Message);
  }
  void remove(std::uint64_t Number) { Connections_.erase(Number); }

private:
  void acceptNext();
  std::shared_ptr<PeerConnection> add(boost::asio::ip::tcp::socket Socket);
  void closeLeastRecentlyUsed();

  boost::asio::io_context &Io_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  const Handler OnMessage_;
  std::uint64_t LastNumber_ = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<PeerConnection>>
      Connections_;
  /// The number of the connection that was opened to each instance, by its
  /// address.
  std::map<std::string, std::uint64_t> Opened_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PEERCONNECTIONS_H
