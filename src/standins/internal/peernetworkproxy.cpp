#include "standins/peernetworkproxy.h"

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

/// A relayed TCP connection between two instances. Data read while the two are
/// partitioned is discarded, and that direction of the connection stays silent
/// from then on, even after the partition has ended.
class PeerNetworkProxy::RelayedConnection
    : public std::enable_shared_from_this<RelayedConnection> {
public:
  RelayedConnection(PeerNetworkProxy &Network, tcp::socket Downstream,
                    std::string From, std::string To)
      : Network_(Network), Downstream_(std::move(Downstream)),
        Upstream_(Downstream_.get_executor()), From_(std::move(From)),
        To_(std::move(To)) {}

  void start(const tcp::endpoint &ActualAddress) {
    Upstream_.async_connect(ActualAddress, [Self = shared_from_this()](
                                               error_code Error) {
      if (Error)
        return Self->close();
      Self->forward(Self->Downstream_, Self->Upstream_, Self->ToUpstream_);
      Self->forward(Self->Upstream_, Self->Downstream_, Self->ToDownstream_);
    });
  }

private:
  using ChunkBuffer = std::array<char, ChunkBytes>;

  void forward(tcp::socket &Source, tcp::socket &Sink, ChunkBuffer &Buffer) {
    Source.async_read_some(
        asio::buffer(Buffer), [Self = shared_from_this(), &Source, &Sink,
                               &Buffer](error_code Error, std::size_t Count) {
          if (Error)
            return Self->close();
          if (!Self->Network_.isConnected(Self->From_, Self->To_))
            return;
          asio::async_write(Sink, asio::buffer(Buffer, Count),
                            [Self, &Source, &Sink,
                             &Buffer](error_code WriteError, std::size_t) {
                              if (WriteError)
                                return Self->close();
                              Self->forward(Source, Sink, Buffer);
                            });
        });
  }

  void close() {
    error_code Ignored;
    Downstream_.close(Ignored);
    Upstream_.close(Ignored);
  }

  PeerNetworkProxy &Network_;
  tcp::socket Downstream_;
  tcp::socket Upstream_;
  std::string From_;
  std::string To_;
  ChunkBuffer ToUpstream_;
  ChunkBuffer ToDownstream_;
};

/// Listens at the published address of one instance and relays datagrams and
/// connections to the address at which the instance listens.
class PeerNetworkProxy::EndpointProxy {
public:
  EndpointProxy(PeerNetworkProxy &Network, asio::io_context &Context,
                const PeerEndpoint &Endpoint)
      : Network_(Network), To_(Endpoint.Name_),
        ActualTcp_(parseAddress(Endpoint.ActualAddress_)),
        ActualUdp_(ActualTcp_.address(), ActualTcp_.port()), Udp_(Context),
        Acceptor_(Context) {
    const tcp::endpoint Published = parseAddress(Endpoint.PublishedAddress_);
    Udp_.open(udp::v4());
    Udp_.bind(udp::endpoint(Published.address(), Published.port()));
    Acceptor_.open(tcp::v4());
    Acceptor_.set_option(asio::socket_base::reuse_address(true));
    Acceptor_.bind(Published);
    Acceptor_.listen();
    receiveDatagram();
    accept();
  }

private:
  void receiveDatagram() {
    Udp_.async_receive_from(asio::buffer(Buffer_), Sender_,
                            [this](error_code Error, std::size_t Count) {
                              if (Error == asio::error::operation_aborted)
                                return;
                              if (!Error)
                                relayDatagram(Count);
                              receiveDatagram();
                            });
  }

  void relayDatagram(std::size_t Count) {
    const std::string From =
        Network_.findInstanceName(Sender_.address().to_string());
    if (!Network_.isConnected(From, To_)) {
      ++Network_.DroppedDatagrams_;
      return;
    }
    ++Network_.RelayedDatagrams_;
    error_code Ignored;
    Udp_.send_to(asio::buffer(Buffer_, Count), ActualUdp_, 0, Ignored);
  }

  void accept() {
    Acceptor_.async_accept([this](error_code Error, tcp::socket Socket) {
      if (Error == asio::error::operation_aborted)
        return;
      if (!Error)
        relayConnection(std::move(Socket));
      accept();
    });
  }

  void relayConnection(tcp::socket Socket) {
    error_code Error;
    const tcp::endpoint Remote = Socket.remote_endpoint(Error);
    const std::string From =
        Network_.findInstanceName(Remote.address().to_string());
    if (Error || !Network_.isConnected(From, To_))
      return;
    Socket.set_option(tcp::no_delay(true), Error);
    std::make_shared<RelayedConnection>(Network_, std::move(Socket), From, To_)
        ->start(ActualTcp_);
  }

  PeerNetworkProxy &Network_;
  std::string To_;
  tcp::endpoint ActualTcp_;
  udp::endpoint ActualUdp_;
  udp::socket Udp_;
  tcp::acceptor Acceptor_;
  udp::endpoint Sender_;
  std::array<char, MaxDatagramBytes> Buffer_;
};

PeerNetworkProxy::PeerNetworkProxy(asio::io_context &Context,
                                   const std::vector<PeerEndpoint> &Endpoints) {
  for (const PeerEndpoint &Endpoint : Endpoints) {
    const std::string Ip =
        parseAddress(Endpoint.ActualAddress_).address().to_string();
    InstancesByIp_[Ip] = Endpoint.Name_;
    Proxies_.push_back(
        std::make_unique<EndpointProxy>(*this, Context, Endpoint));
  }
}

PeerNetworkProxy::~PeerNetworkProxy() = default;

bool PeerNetworkProxy::isConnected(const std::string &From,
                                   const std::string &To) const {
  return PartitionedInstances_.contains(From) ==
         PartitionedInstances_.contains(To);
}

std::string PeerNetworkProxy::findInstanceName(const std::string &Ip) const {
  const auto Position = InstancesByIp_.find(Ip);
  return Position == InstancesByIp_.end() ? std::string() : Position->second;
}

} // namespace cranberryspool::standins
