#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_LISTEN_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_LISTEN_H

#include "entry/endpointtext.h"
#include "entry/types/endpoint.h"
#include "framework/result.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/system/error_code.hpp>

namespace cranberryspool::entry {

/// Binds a listener to the endpoint with SO_REUSEADDR.
framework::Result<boost::asio::ip::tcp::acceptor, boost::system::error_code>
listen(boost::asio::io_context &Io, const Endpoint &At);

/// Binds a datagram socket to the endpoint with SO_REUSEADDR.
framework::Result<boost::asio::ip::udp::socket, boost::system::error_code>
listenForDatagrams(boost::asio::io_context &Io, const Endpoint &At);

/// Returns another handle of a datagram socket, likewise to `shareListener`.
boost::asio::ip::udp::socket shareSocket(boost::asio::io_context &Io,
                                         boost::asio::ip::udp::socket &Socket);

/// Returns another handle of a listener, for a duty to accept on; connections
/// wait in the listener while the duty is restarted.
boost::asio::ip::tcp::acceptor
shareListener(boost::asio::io_context &Io,
              boost::asio::ip::tcp::acceptor &Listener);

boost::asio::ip::udp::endpoint toUdp(const Endpoint &At);

/// Returns the endpoint in Asio's form; the address must be an IP number.
boost::asio::ip::tcp::endpoint toTcp(const Endpoint &At);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_LISTEN_H
