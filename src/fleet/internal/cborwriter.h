#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_CBORWRITER_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_CBORWRITER_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cranberryspool::fleet {

/// Appends CBOR items to a buffer using libcbor's encoders.
class CborWriter {
public:
  void writeUnsigned(std::uint64_t Value);
  void writeText(std::string_view Value);
  void writeBytes(const std::vector<std::uint8_t> &Value);
  void writeBoolean(bool Value);
  void writeNull();
  void writeArrayHeader(std::size_t Count);

  std::vector<std::uint8_t> releaseBuffer();

private:
  template <typename Encode> void append(Encode Write);

  std::vector<std::uint8_t> Buffer_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_CBORWRITER_H
