#include "standins/address.h"

#include <stdexcept>

namespace cranberryspool::standins {

boost::asio::ip::tcp::endpoint parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    throw std::invalid_argument("malformed address, expected IP:port: " + Text);
  const int Port = std::stoi(Text.substr(Colon + 1));
  return {boost::asio::ip::make_address(Text.substr(0, Colon)),
          static_cast<unsigned short>(Port)};
}

} // namespace cranberryspool::standins
