#ifndef CRANBERRYSPOOL_ROUTING_TYPES_REQUESTRATE_H
#define CRANBERRYSPOOL_ROUTING_TYPES_REQUESTRATE_H

#include <cstdint>
#include <limits>

namespace cranberryspool::routing {

/// A rate of requests in thousandths of a request per second.
struct RequestRate {
  std::uint32_t Millihertz_ = 0;

  static constexpr RequestRate unlimited() {
    return {std::numeric_limits<std::uint32_t>::max()};
  }
  bool isUnlimited() const { return *this == unlimited(); }
  double perSecond() const { return Millihertz_ / 1000.0; }

  friend bool operator==(const RequestRate &, const RequestRate &) = default;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_REQUESTRATE_H
