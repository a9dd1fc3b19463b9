#ifndef CRANBERRYSPOOL_FLEET_PEERCODEC_H
#define CRANBERRYSPOOL_FLEET_PEERCODEC_H

#include "fleet/peermessage.h"
#include "fleet/types/decodefailure.h"
#include "framework/result.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cranberryspool::fleet {

/// The largest datagram: fits into the usual Ethernet MTU with its headers.
inline constexpr std::size_t MaxDatagramBytes = 1'400;

/// Encodes the message as CBOR (RFC 8949).
std::vector<std::uint8_t> encodePeerMessage(const PeerMessage &Message);

/// Decodes one message. Memory use and time are bounded by the datagram's size.
framework::Result<PeerMessage, DecodeFailure>
decodePeerMessage(std::span<const std::uint8_t> Datagram);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_PEERCODEC_H
