#ifndef CRANBERRYSPOOL_FLEET_TYPES_TRANSPORT_H
#define CRANBERRYSPOOL_FLEET_TYPES_TRANSPORT_H

#include <cstdint>

namespace cranberryspool::fleet {

/// How a message between instances travels. A datagram costs least and may be
/// lost; a connection repeats what is lost on the way.
enum class Transport : std::uint8_t { Datagram, Connection };

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_TRANSPORT_H
