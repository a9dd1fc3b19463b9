#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PEERMESSENGER_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PEERMESSENGER_H

#include "entry/internal/peerconnections.h"
#include "entry/internal/workermailboxes.h"
#include "entry/types/endpoint.h"
#include "framework/runtime/outbox.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <optional>
#include <span>

namespace cranberryspool::entry {

/// The worker that exchanges messages with other instances over UDP, one
/// message per datagram, on the socket bound to the peer endpoint, and those
/// that must not be lost on their way over TCP. A message that cannot be sent
/// or decoded is dropped, since peers repeat their messages.
class PeerMessenger {
public:
  /// Without an acceptor there are no connections, only datagrams.
  PeerMessenger(boost::asio::io_context &Io,
                boost::asio::ip::udp::socket Socket,
                std::optional<boost::asio::ip::tcp::acceptor> Acceptor,
                WorkerMailboxes &Mailboxes);
  ~PeerMessenger();

private:
  /// The buffer is larger than any UDP datagram, so that none is truncated
  /// unnoticed.
  static constexpr std::size_t ReceiveBufferBytes = 65536;

  void receiveNext();
  void onReceived(std::span<const std::uint8_t> Encoded, fleet::Transport Via);
  void onCommand(const PeerCommand &Command);

  WorkerMailboxes &Mailboxes_;
  framework::Outbox<DispatchInput> Dispatch_;
  boost::asio::ip::udp::socket Socket_;
  boost::asio::ip::udp::endpoint Sender_;
  std::array<std::uint8_t, ReceiveBufferBytes> ReceiveBuffer_{};
  std::optional<PeerConnections> Connections_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PEERMESSENGER_H
