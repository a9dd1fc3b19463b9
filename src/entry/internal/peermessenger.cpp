#include "entry/internal/peermessenger.h"

#include "entry/internal/listen.h"
#include "fleet/peercodec.h"

namespace cranberryspool::entry {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::udp;

PeerMessenger::PeerMessenger(net::io_context &Io, udp::socket Socket,
                             std::optional<net::ip::tcp::acceptor> Acceptor,
                             WorkerMailboxes &Mailboxes)
    : Mailboxes_(Mailboxes), Dispatch_(Io, Mailboxes.Dispatch_),
      Socket_(std::move(Socket)) {
  if (Acceptor)
    Connections_.emplace(Io, std::move(*Acceptor),
                         [this](std::span<const std::uint8_t> Encoded) {
                           onReceived(Encoded, fleet::Transport::Connection);
                         });
  Socket_.non_blocking(true);
  Mailboxes_.Peers_.attach(
      Io, [this](const PeerCommand &Command) { onCommand(Command); });
  receiveNext();
}

PeerMessenger::~PeerMessenger() { Mailboxes_.Peers_.detach(); }

void PeerMessenger::receiveNext() {
  Socket_.async_receive_from(
      net::buffer(ReceiveBuffer_), Sender_,
      [this](const error_code &Error, std::size_t Bytes) {
        if (Error == net::error::operation_aborted)
          return;
        // Other errors report that an earlier datagram found no listener; they
        // do not end the reception.
        if (!Error)
          onReceived({ReceiveBuffer_.data(), Bytes},
                     fleet::Transport::Datagram);
        receiveNext();
      });
}

void PeerMessenger::onReceived(std::span<const std::uint8_t> Encoded,
                               fleet::Transport Via) {
  auto Message = fleet::decodePeerMessage(Encoded);
  DispatchInput Input;
  if (Message)
    Input.Event_ =
        decision::PeerMessageReceived{std::move(Message.value()), Via};
  else
    Input.Event_ = decision::PeerMessageUnreadable{Message.error()};
  // Dropped when the mailbox is full: the protocol tolerates lost messages.
  Mailboxes_.Dispatch_.tryPush(Input);
}

void PeerMessenger::onCommand(const PeerCommand &Command) {
  const auto Remote = parseEndpoint(Command.PeerAddress_);
  if (!Remote)
    return;
  const std::vector<std::uint8_t> Encoded =
      fleet::encodePeerMessage(Command.Message_);
  if (Command.Via_ == fleet::Transport::Connection) {
    if (Connections_)
      Connections_->send(Remote.value(), Encoded);
    return;
  }
  error_code Ignored;
  Socket_.send_to(net::buffer(Encoded), toUdp(Remote.value()), 0, Ignored);
}

} // namespace cranberryspool::entry
