#include "standins/peerlink.h"

#include "standins/address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace cranberryspool::standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t MaxDatagramBytes = 65536;
constexpr std::size_t ChunkBytes = 65536;

} // namespace

/// A relayed connection; bytes that would cross a cut are held back for good.
class PeerLink::Tunnel : public std::enable_shared_from_this<Tunnel> {
public:
  Tunnel(PeerLink &Link, tcp::socket Caller, std::string From, std::string To)
      : Link_(Link), Caller_(std::move(Caller)),
        Callee_(Caller_.get_executor()), From_(std::move(From)),
        To_(std::move(To)) {}

  void start(const tcp::endpoint &Real) {
    Callee_.async_connect(Real, [Self = shared_from_this()](error_code Error) {
      if (Error)
        return Self->close();
      Self->pump(Self->Caller_, Self->Callee_, Self->Forward_);
      Self->pump(Self->Callee_, Self->Caller_, Self->Backward_);
    });
  }

private:
  using Chunk = std::array<char, ChunkBytes>;

  void pump(tcp::socket &Source, tcp::socket &Sink, Chunk &Buffer) {
    Source.async_read_some(
        asio::buffer(Buffer), [Self = shared_from_this(), &Source, &Sink,
                               &Buffer](error_code Error, std::size_t Count) {
          if (Error)
            return Self->close();
          if (!Self->Link_.isJoined(Self->From_, Self->To_))
            return;
          asio::async_write(Sink, asio::buffer(Buffer, Count),
                            [Self, &Source, &Sink,
                             &Buffer](error_code WriteError, std::size_t) {
                              if (WriteError)
                                return Self->close();
                              Self->pump(Source, Sink, Buffer);
                            });
        });
  }

  void close() {
    error_code Ignored;
    Caller_.close(Ignored);
    Callee_.close(Ignored);
  }

  PeerLink &Link_;
  tcp::socket Caller_;
  tcp::socket Callee_;
  std::string From_;
  std::string To_;
  Chunk Forward_;
  Chunk Backward_;
};

/// The published address of one instance.
class PeerLink::Port {
public:
  Port(PeerLink &Link, asio::io_context &Context, const LinkEndpoint &Endpoint)
      : Link_(Link), To_(Endpoint.Name_),
        RealTcp_(parseAddress(Endpoint.Real_)),
        RealUdp_(RealTcp_.address(), RealTcp_.port()), Udp_(Context),
        Acceptor_(Context) {
    const tcp::endpoint Published = parseAddress(Endpoint.Published_);
    Udp_.open(udp::v4());
    Udp_.bind(udp::endpoint(Published.address(), Published.port()));
    Acceptor_.open(tcp::v4());
    Acceptor_.set_option(asio::socket_base::reuse_address(true));
    Acceptor_.bind(Published);
    Acceptor_.listen();
    receive();
    accept();
  }

private:
  void receive() {
    Udp_.async_receive_from(asio::buffer(Buffer_), Sender_,
                            [this](error_code Error, std::size_t Count) {
                              if (Error == asio::error::operation_aborted)
                                return;
                              if (!Error)
                                relay(Count);
                              receive();
                            });
  }

  void relay(std::size_t Count) {
    const std::string From = Link_.nameOf(Sender_.address().to_string());
    if (!Link_.isJoined(From, To_)) {
      ++Link_.Dropped_;
      return;
    }
    ++Link_.Relayed_;
    error_code Ignored;
    Udp_.send_to(asio::buffer(Buffer_, Count), RealUdp_, 0, Ignored);
  }

  void accept() {
    Acceptor_.async_accept([this](error_code Error, tcp::socket Socket) {
      if (Error == asio::error::operation_aborted)
        return;
      if (!Error)
        open(std::move(Socket));
      accept();
    });
  }

  void open(tcp::socket Socket) {
    error_code Error;
    const tcp::endpoint Remote = Socket.remote_endpoint(Error);
    const std::string From = Link_.nameOf(Remote.address().to_string());
    if (Error || !Link_.isJoined(From, To_))
      return;
    Socket.set_option(tcp::no_delay(true), Error);
    std::make_shared<Tunnel>(Link_, std::move(Socket), From, To_)
        ->start(RealTcp_);
  }

  PeerLink &Link_;
  std::string To_;
  tcp::endpoint RealTcp_;
  udp::endpoint RealUdp_;
  udp::socket Udp_;
  tcp::acceptor Acceptor_;
  udp::endpoint Sender_;
  std::array<char, MaxDatagramBytes> Buffer_;
};

PeerLink::PeerLink(asio::io_context &Context,
                   const std::vector<LinkEndpoint> &Endpoints) {
  for (const LinkEndpoint &Endpoint : Endpoints) {
    const std::string Ip = parseAddress(Endpoint.Real_).address().to_string();
    NamesByIp_[Ip] = Endpoint.Name_;
    Ports_.push_back(std::make_unique<Port>(*this, Context, Endpoint));
  }
}

PeerLink::~PeerLink() = default;

bool PeerLink::isJoined(const std::string &From, const std::string &To) const {
  return Parted_.contains(From) == Parted_.contains(To);
}

std::string PeerLink::nameOf(const std::string &Ip) const {
  const auto Position = NamesByIp_.find(Ip);
  return Position == NamesByIp_.end() ? std::string() : Position->second;
}

} // namespace cranberryspool::standins
