#include "entry/internal/listen.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <unistd.h>

namespace cranberryspool::entry {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;
using net::ip::udp;

framework::Result<tcp::acceptor, error_code> listen(net::io_context &Io,
                                                    const Endpoint &Address) {
  tcp::acceptor Acceptor(Io);
  error_code Error;
  const tcp::endpoint LocalEndpoint = toTcp(Address);
  Acceptor.open(LocalEndpoint.protocol(), Error);
  if (Error)
    return Error;
  Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (Error)
    return Error;
  Acceptor.bind(LocalEndpoint, Error);
  if (Error)
    return Error;
  Acceptor.listen(net::socket_base::max_listen_connections, Error);
  if (Error)
    return Error;
  return Acceptor;
}

tcp::acceptor duplicateListener(net::io_context &Io, tcp::acceptor &Listener) {
  const int Descriptor = ::dup(Listener.native_handle());
  return tcp::acceptor(Io, Listener.local_endpoint().protocol(), Descriptor);
}

framework::Result<udp::socket, error_code>
bindDatagramSocket(net::io_context &Io, const Endpoint &Address) {
  udp::socket Socket(Io);
  error_code Error;
  const udp::endpoint LocalEndpoint = toUdp(Address);
  Socket.open(LocalEndpoint.protocol(), Error);
  if (Error)
    return Error;
  Socket.bind(LocalEndpoint, Error);
  if (Error)
    return Error;
  return Socket;
}

udp::socket duplicateSocket(net::io_context &Io, udp::socket &Socket) {
  const int Descriptor = ::dup(Socket.native_handle());
  return udp::socket(Io, Socket.local_endpoint().protocol(), Descriptor);
}

udp::endpoint toUdp(const Endpoint &Address) {
  const tcp::endpoint TcpEndpoint = toTcp(Address);
  return {TcpEndpoint.address(), TcpEndpoint.port()};
}

tcp::endpoint toTcp(const Endpoint &Address) {
  error_code Ignored;
  return {net::ip::make_address(Address.Address_, Ignored), Address.Port_};
}

std::string textOf(const Endpoint &Address) {
  return Address.Address_ + ":" + std::to_string(Address.Port_);
}

framework::Result<Endpoint, error_code> parseEndpoint(const std::string &Text) {
  const error_code Invalid =
      make_error_code(boost::system::errc::invalid_argument);
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return Invalid;
  Endpoint Parsed;
  Parsed.Address_ = Text.substr(0, Colon);
  error_code Error;
  net::ip::make_address(Parsed.Address_, Error);
  if (Error)
    return Error;
  const char *PortBegin = Text.data() + Colon + 1;
  const char *PortEnd = Text.data() + Text.size();
  const auto [ParsedEnd, ErrorCode] =
      std::from_chars(PortBegin, PortEnd, Parsed.Port_);
  if (ErrorCode != std::errc() || ParsedEnd != PortEnd || PortBegin == PortEnd)
    return Invalid;
  return Parsed;
}

} // namespace cranberryspool::entry
