#ifndef CRANBERRYSPOOL_FLEET_TYPES_DECODEFAILURE_H
#define CRANBERRYSPOOL_FLEET_TYPES_DECODEFAILURE_H

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

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_DECODEFAILURE_H
