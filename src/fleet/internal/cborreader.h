#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_CBORREADER_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_CBORREADER_H

#include "fleet/internal/cbortoken.h"
#include "fleet/types/decodefailure.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// Reads CBOR items one by one with libcbor's streaming decoder, which
/// allocates nothing. After a failure all further reads give empty values.
class CborReader {
public:
  explicit CborReader(std::span<const std::uint8_t> Input) : Input_(Input) {}

  std::uint64_t unsignedNumber();
  std::string text();
  std::vector<std::uint8_t> bytes();
  bool boolean();
  /// Returns true, and consumes it, when the next item is null.
  bool tryNull();
  /// Returns the count of the array that begins here. It is never more than
  /// the number of bytes left.
  std::size_t arrayCount();

  bool isAtEnd() const { return Input_.empty(); }
  void fail(DecodeFailure Failure);
  std::optional<DecodeFailure> failure() const { return Failure_; }

private:
  /// Reads the next item, of the given type.
  CborToken take(CborTokenType Type);
  CborToken peek(std::size_t &Length);

  std::span<const std::uint8_t> Input_;
  std::optional<DecodeFailure> Failure_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_CBORREADER_H
