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
                                                    const Endpoint &At) {
  tcp::acceptor Acceptor(Io);
  error_code Error;
  const tcp::endpoint Where = toTcp(At);
  Acceptor.open(Where.protocol(), Error);
  if (Error)
    return Error;
  Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (Error)
    return Error;
  Acceptor.bind(Where, Error);
  if (Error)
    return Error;
  Acceptor.listen(net::socket_base::max_listen_connections, Error);
  if (Error)
    return Error;
  return Acceptor;
}

tcp::acceptor shareListener(net::io_context &Io, tcp::acceptor &Listener) {
  const int Handle = ::dup(Listener.native_handle());
  return tcp::acceptor(Io, Listener.local_endpoint().protocol(), Handle);
}

framework::Result<udp::socket, error_code>
listenForDatagrams(net::io_context &Io, const Endpoint &At) {
  udp::socket Socket(Io);
  error_code Error;
  const udp::endpoint Where = toUdp(At);
  Socket.open(Where.protocol(), Error);
  if (Error)
    return Error;
  Socket.set_option(udp::socket::reuse_address(true), Error);
  if (Error)
    return Error;
  Socket.bind(Where, Error);
  if (Error)
    return Error;
  return Socket;
}

udp::socket shareSocket(net::io_context &Io, udp::socket &Socket) {
  const int Handle = ::dup(Socket.native_handle());
  return udp::socket(Io, Socket.local_endpoint().protocol(), Handle);
}

udp::endpoint toUdp(const Endpoint &At) {
  const tcp::endpoint Where = toTcp(At);
  return {Where.address(), Where.port()};
}

tcp::endpoint toTcp(const Endpoint &At) {
  error_code Ignored;
  return {net::ip::make_address(At.Address_, Ignored), At.Port_};
}

std::string textOf(const Endpoint &At) {
  return At.Address_ + ":" + std::to_string(At.Port_);
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
  const char *First = Text.data() + Colon + 1;
  const char *Last = Text.data() + Text.size();
  const auto [End, Code] = std::from_chars(First, Last, Parsed.Port_);
  if (Code != std::errc() || End != Last || First == Last)
    return Invalid;
  return Parsed;
}

} // namespace cranberryspool::entry
