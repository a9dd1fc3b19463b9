#ifndef CRANBERRYSPOOL_STANDINS_ADDRESS_H
#define CRANBERRYSPOOL_STANDINS_ADDRESS_H

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace cranberryspool::standins {

/// Reads `IP:port`; throws `boost::system::system_error` or
/// `std::invalid_argument` when it is none.
boost::asio::ip::tcp::endpoint parseAddress(const std::string &Text);

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_ADDRESS_H
