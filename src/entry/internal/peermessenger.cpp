#include "entry/internal/peermessenger.h"

#include "entry/internal/listen.h"
#include "fleet/peercodec.h"

namespace cranberryspool::entry {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::udp;

PeerMessenger::PeerMessenger(net::io_context &Io, udp::socket Socket,
                             Mailboxes &Rings)
    : Rings_(Rings), Dispatch_(Io, Rings.Dispatch_),
      Socket_(std::move(Socket)) {
  Socket_.non_blocking(true);
  Rings_.Peers_.attach(
      Io, [this](const PeerCommand &Command) { onCommand(Command); });
  receiveNext();
}

PeerMessenger::~PeerMessenger() { Rings_.Peers_.detach(); }

void PeerMessenger::receiveNext() {
  Socket_.async_receive_from(
      net::buffer(Received_), Sender_,
      [this](const error_code &Error, std::size_t Bytes) {
        if (Error == net::error::operation_aborted)
          return;
        // Other errors tell of an earlier datagram that found no listener.
        if (!Error)
          onReceived(Bytes);
        receiveNext();
      });
}

void PeerMessenger::onReceived(std::size_t Bytes) {
  auto Message = fleet::decodePeerMessage({Received_.data(), Bytes});
  if (!Message)
    return;
  DispatchInput Input;
  Input.Event_ = decision::PeerMessageReceived{std::move(Message.value())};
  // Dropped when the ring is full: messages may be lost on the way as well.
  Rings_.Dispatch_.tryPush(Input);
}

void PeerMessenger::onCommand(const PeerCommand &Command) {
  const auto Where = parseEndpoint(Command.PeerAddress_);
  if (!Where)
    return;
  const std::vector<std::uint8_t> Datagram =
      fleet::encodePeerMessage(Command.Message_);
  error_code Ignored;
  Socket_.send_to(net::buffer(Datagram), toUdp(Where.value()), 0, Ignored);
}

} // namespace cranberryspool::entry
