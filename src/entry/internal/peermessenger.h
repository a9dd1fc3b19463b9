#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PEERMESSENGER_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PEERMESSENGER_H

#include "entry/internal/mailboxes.h"
#include "entry/types/endpoint.h"
#include "framework/runtime/outbox.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>

namespace cranberryspool::entry {

/// The duty that exchanges messages with other instances, one a datagram, over
/// the one socket that is bound to the peers' endpoint. A message that cannot
/// be sent or read is dropped: peers repeat themselves.
class PeerMessenger {
public:
  PeerMessenger(boost::asio::io_context &Io,
                boost::asio::ip::udp::socket Socket, Mailboxes &Rings);
  ~PeerMessenger();

private:
  /// Larger than any datagram, so that none is cut unnoticed.
  static constexpr std::size_t ReceiveBytes = 65536;

  void receiveNext();
  void onReceived(std::size_t Bytes);
  void onCommand(const PeerCommand &Command);

  Mailboxes &Rings_;
  framework::Outbox<DispatchInput> Dispatch_;
  boost::asio::ip::udp::socket Socket_;
  boost::asio::ip::udp::endpoint Sender_;
  std::array<std::uint8_t, ReceiveBytes> Received_{};
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PEERMESSENGER_H
