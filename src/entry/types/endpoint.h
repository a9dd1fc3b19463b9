#ifndef CRANBERRYSPOOL_ENTRY_TYPES_ENDPOINT_H
#define CRANBERRYSPOOL_ENTRY_TYPES_ENDPOINT_H

#include <cstdint>
#include <string>

namespace cranberryspool::entry {

/// An IP address and a port.
struct Endpoint {
  std::string Address_;
  std::uint16_t Port_ = 0;

  friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_ENDPOINT_H
