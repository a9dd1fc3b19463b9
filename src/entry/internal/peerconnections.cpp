#include "entry/internal/peerconnections.h"

#include "entry/endpointtext.h"
#include "entry/internal/listen.h"
#include "entry/internal/peerconnection.h"

#include <algorithm>

namespace cranberryspool::entry {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

constexpr std::size_t MaxConnections = 64;

} // namespace

PeerConnections::PeerConnections(net::io_context &Io, tcp::acceptor Acceptor,
                                 Handler OnMessage)
    : Io_(Io), Acceptor_(std::move(Acceptor)),
      OnMessage_(std::move(OnMessage)) {
  acceptNext();
}

PeerConnections::~PeerConnections() {
  while (!Connections_.empty()) {
    const auto Connection = Connections_.begin()->second;
    Connection->close();
  }
}

void PeerConnections::acceptNext() {
  Acceptor_.async_accept(
      Io_, [this](const boost::system::error_code &Error, tcp::socket Socket) {
        if (Error == net::error::operation_aborted)
          return;
        if (!Error)
          add(std::move(Socket))->start();
        acceptNext();
      });
}

std::shared_ptr<PeerConnection> PeerConnections::add(tcp::socket Socket) {
  if (Connections_.size() >= MaxConnections)
    closeLeastRecentlyUsed();
  const std::uint64_t Number = ++LastNumber_;
  auto Added =
      std::make_shared<PeerConnection>(std::move(Socket), Number, *this);
  Connections_.emplace(Number, Added);
  return Added;
}

void PeerConnections::closeLeastRecentlyUsed() {
  const auto Oldest = std::min_element(Connections_.begin(), Connections_.end(),
                                       [](const auto &Left, const auto &Right) {
                                         return Left.second->lastUsedAt() <
                                                Right.second->lastUsedAt();
                                       });
  const auto Connection = Oldest->second;
  Connection->close();
}

void PeerConnections::send(const Endpoint &Peer,
                           const std::vector<std::uint8_t> &Message) {
  std::uint64_t &Number = Opened_[textOf(Peer)];
  const auto Known = Connections_.find(Number);
  if (Known != Connections_.end()) {
    Known->second->send(Message);
    return;
  }
  const auto Opening = add(tcp::socket(Io_));
  Number = LastNumber_;
  Opening->send(Message);
  Opening->connect(toTcp(Peer));
}

} // namespace cranberryspool::entry
