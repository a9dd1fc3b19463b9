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

/// Reads CBOR items one by one with libcbor's streaming decoder, which does not
/// allocate memory. After a failure, all further reads return empty values.
class CborReader {
public:
  explicit CborReader(std::span<const std::uint8_t> Input) : Input_(Input) {}

  std::uint64_t readUnsigned();
  std::string readText();
  std::vector<std::uint8_t> readBytes();
  bool readBoolean();
  /// Consumes the next item and returns true if it is null; otherwise leaves
  /// it.
  bool tryReadNull();
  /// Reads an array header and returns the element count, which is never more
  /// than the number of bytes left in the input.
  std::size_t readArrayHeader();

  bool isAtEnd() const { return Input_.empty(); }
  void fail(DecodeFailure Failure);
  std::optional<DecodeFailure> failure() const { return Failure_; }

private:
  /// Reads the next item, which must be of the given type.
  CborToken readToken(CborTokenType Type);
  CborToken peekToken(std::size_t &Length);

  std::span<const std::uint8_t> Input_;
  std::optional<DecodeFailure> Failure_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_CBORREADER_H
