#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PEERCONNECTION_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PEERCONNECTION_H

#include "fleet/peercodec.h"
#include "framework/time.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace cranberryspool::entry {

class PeerConnections;

/// A connection between two instances. Each message follows its length in two
/// bytes, in network byte order.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
  PeerConnection(boost::asio::ip::tcp::socket Socket, std::uint64_t Number,
                 PeerConnections &Owner);

  void connect(const boost::asio::ip::tcp::endpoint &Peer);
  /// Must be called once the socket is connected.
  void start();
  /// Drops the message when too many wait.
  void send(const std::vector<std::uint8_t> &Message);
  void close();

  framework::Instant lastUsedAt() const { return LastUsedAt_; }

private:
  static constexpr std::size_t LengthBytes = 2;

  void readLength();
  void readMessage();
  void writeNext();
  /// Closes the connection unless it is used, or its output sent, in time.
  void restartTimer();

  boost::asio::ip::tcp::socket Socket_;
  const std::uint64_t Number_;
  PeerConnections &Owner_;
  boost::asio::steady_timer Timer_;
  bool IsConnected_ = false;
  /// Set before the owner forgets the connection. Handlers may run later.
  bool IsClosed_ = false;
  framework::Instant LastUsedAt_;
  std::array<std::uint8_t, LengthBytes> Length_{};
  std::vector<std::uint8_t> Input_;
  /// Messages with their lengths, of which the first one is being sent.
  std::deque<std::vector<std::uint8_t>> Output_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PEERCONNECTION_H
