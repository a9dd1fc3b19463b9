#include "fleet/types/decodefailure.h"

namespace cranberryspool::fleet {

std::string_view nameOf(DecodeFailure Failure) {
  switch (Failure) {
  case DecodeFailure::TooLarge:
    return "too-large";
  case DecodeFailure::MalformedCbor:
    return "malformed";
  case DecodeFailure::TrailingBytes:
    return "trailing-bytes";
  case DecodeFailure::UnknownVersion:
    return "unknown-version";
  case DecodeFailure::UnknownMessage:
    return "unknown-message";
  case DecodeFailure::WrongFieldCount:
    return "wrong-field-count";
  case DecodeFailure::WrongFieldType:
    return "wrong-field-type";
  case DecodeFailure::ValueOutOfRange:
    return "value-out-of-range";
  }
  return "other";
}

} // namespace cranberryspool::fleet
