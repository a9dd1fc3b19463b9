#include "fleet/internal/cborwriter.h"

#include <cbor.h>

#include <utility>

namespace cranberryspool::fleet {

namespace {

/// The size of the longest item header.
constexpr std::size_t MaxHeaderBytes = 9;

} // namespace

template <typename Encode> void CborWriter::append(Encode Write) {
  const std::size_t Before = Buffer_.size();
  Buffer_.resize(Before + MaxHeaderBytes);
  const std::size_t Written = Write(Buffer_.data() + Before, MaxHeaderBytes);
  Buffer_.resize(Before + Written);
}

void CborWriter::writeUnsigned(std::uint64_t Value) {
  append([&](unsigned char *Destination, std::size_t Size) {
    return cbor_encode_uint(Value, Destination, Size);
  });
}

void CborWriter::writeText(std::string_view Value) {
  append([&](unsigned char *Destination, std::size_t Size) {
    return cbor_encode_string_start(Value.size(), Destination, Size);
  });
  Buffer_.insert(Buffer_.end(), Value.begin(), Value.end());
}

void CborWriter::writeBytes(const std::vector<std::uint8_t> &Value) {
  append([&](unsigned char *Destination, std::size_t Size) {
    return cbor_encode_bytestring_start(Value.size(), Destination, Size);
  });
  Buffer_.insert(Buffer_.end(), Value.begin(), Value.end());
}

void CborWriter::writeBoolean(bool Value) {
  append([&](unsigned char *Destination, std::size_t Size) {
    return cbor_encode_bool(Value, Destination, Size);
  });
}

void CborWriter::writeNull() {
  append([](unsigned char *Destination, std::size_t Size) {
    return cbor_encode_null(Destination, Size);
  });
}

void CborWriter::writeArrayHeader(std::size_t Count) {
  append([&](unsigned char *Destination, std::size_t Size) {
    return cbor_encode_array_start(Count, Destination, Size);
  });
}

std::vector<std::uint8_t> CborWriter::releaseBuffer() {
  return std::exchange(Buffer_, {});
}

} // namespace cranberryspool::fleet
