#ifndef CRANBERRYSPOOL_STANDINS_ADDRESS_H
#define CRANBERRYSPOOL_STANDINS_ADDRESS_H

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace cranberryspool::standins {

/// Parses an address of the form `IP:port`. Throws
/// `boost::system::system_error`, `std::invalid_argument` or
/// `std::out_of_range` when the text is malformed.
boost::asio::ip::tcp::endpoint parseAddress(const std::string &Text);

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_ADDRESS_H
