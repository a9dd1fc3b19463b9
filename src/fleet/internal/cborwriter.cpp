#include "fleet/internal/cborwriter.h"

#include <cbor.h>

#include <utility>

namespace cranberryspool::fleet {

namespace {

/// The longest head of an item.
constexpr std::size_t MaxHeadBytes = 9;

} // namespace

template <typename Encode> void CborWriter::append(Encode Write) {
  const std::size_t Before = Buffer_.size();
  Buffer_.resize(Before + MaxHeadBytes);
  const std::size_t Written = Write(Buffer_.data() + Before, MaxHeadBytes);
  Buffer_.resize(Before + Written);
}

void CborWriter::unsignedNumber(std::uint64_t Value) {
  append([&](unsigned char *Place, std::size_t Size) {
    return cbor_encode_uint(Value, Place, Size);
  });
}

void CborWriter::text(std::string_view Value) {
  append([&](unsigned char *Place, std::size_t Size) {
    return cbor_encode_string_start(Value.size(), Place, Size);
  });
  Buffer_.insert(Buffer_.end(), Value.begin(), Value.end());
}

void CborWriter::bytes(const std::vector<std::uint8_t> &Value) {
  append([&](unsigned char *Place, std::size_t Size) {
    return cbor_encode_bytestring_start(Value.size(), Place, Size);
  });
  Buffer_.insert(Buffer_.end(), Value.begin(), Value.end());
}

void CborWriter::boolean(bool Value) {
  append([&](unsigned char *Place, std::size_t Size) {
    return cbor_encode_bool(Value, Place, Size);
  });
}

void CborWriter::null() {
  append([](unsigned char *Place, std::size_t Size) {
    return cbor_encode_null(Place, Size);
  });
}

void CborWriter::arrayOf(std::size_t Count) {
  append([&](unsigned char *Place, std::size_t Size) {
    return cbor_encode_array_start(Count, Place, Size);
  });
}

std::vector<std::uint8_t> CborWriter::takeBuffer() {
  return std::exchange(Buffer_, {});
}

} // namespace cranberryspool::fleet
