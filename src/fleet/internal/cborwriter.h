#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_CBORWRITER_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_CBORWRITER_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cranberryspool::fleet {

/// Appends CBOR items to a buffer by libcbor's encoders.
class CborWriter {
public:
  void unsignedNumber(std::uint64_t Value);
  void text(std::string_view Value);
  void bytes(const std::vector<std::uint8_t> &Value);
  void boolean(bool Value);
  void null();
  void arrayOf(std::size_t Count);

  std::vector<std::uint8_t> takeBuffer();

private:
  template <typename Encode> void append(Encode Write);

  std::vector<std::uint8_t> Buffer_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_CBORWRITER_H
