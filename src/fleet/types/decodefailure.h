#ifndef CRANBERRYSPOOL_FLEET_TYPES_DECODEFAILURE_H
#define CRANBERRYSPOOL_FLEET_TYPES_DECODEFAILURE_H

#include <string_view>

namespace cranberryspool::fleet {

/// The reason why a datagram could not be decoded as a peer message.
enum class DecodeFailure {
  TooLarge,
  MalformedCbor,
  TrailingBytes,
  UnknownVersion,
  UnknownMessage,
  WrongFieldCount,
  WrongFieldType,
  ValueOutOfRange,
};

std::string_view nameOf(DecodeFailure Failure);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_DECODEFAILURE_H
