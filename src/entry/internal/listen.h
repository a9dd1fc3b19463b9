#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_LISTEN_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_LISTEN_H

#include "entry/endpointtext.h"
#include "entry/types/endpoint.h"
#include "framework/result.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/system/error_code.hpp>

namespace cranberryspool::entry {

/// Binds a listening socket to the endpoint, with SO_REUSEADDR.
framework::Result<boost::asio::ip::tcp::acceptor, boost::system::error_code>
listen(boost::asio::io_context &Io, const Endpoint &Address);

/// Binds a UDP socket to the endpoint, with SO_REUSEADDR.
framework::Result<boost::asio::ip::udp::socket, boost::system::error_code>
bindDatagramSocket(boost::asio::io_context &Io, const Endpoint &Address);

/// Duplicates the descriptor of a UDP socket, for the same purpose as
/// `duplicateListener`.
boost::asio::ip::udp::socket
duplicateSocket(boost::asio::io_context &Io,
                boost::asio::ip::udp::socket &Socket);

/// Duplicates the descriptor of a listening socket, for a worker to accept on.
/// The original keeps connections queued while the worker is restarted.
boost::asio::ip::tcp::acceptor
duplicateListener(boost::asio::io_context &Io,
                  boost::asio::ip::tcp::acceptor &Listener);

/// Converts an endpoint to the UDP form of Asio; the address must be valid.
boost::asio::ip::udp::endpoint toUdp(const Endpoint &Address);

/// Converts an endpoint to the TCP form of Asio; the address must be valid.
boost::asio::ip::tcp::endpoint toTcp(const Endpoint &Address);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_LISTEN_H
