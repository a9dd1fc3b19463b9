#include "document/keydigesttext.h"

namespace cranberryspool::document {

namespace {

std::optional<unsigned> hexValue(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  if (Digit >= 'a' && Digit <= 'f')
    return Digit - 'a' + 10;
  return std::nullopt;
}

} // namespace

std::string digestText(const KeyDigest &Digest) {
  constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  Text.reserve(2 * Digest.Bytes_.size());
  for (const std::uint8_t Byte : Digest.Bytes_) {
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 15U];
  }
  return Text;
}

std::optional<KeyDigest> parseDigest(std::string_view Text) {
  KeyDigest Digest;
  if (Text.size() != 2 * Digest.Bytes_.size())
    return std::nullopt;
  for (std::size_t Index = 0; Index < Digest.Bytes_.size(); ++Index) {
    const auto High = hexValue(Text[2 * Index]);
    const auto Low = hexValue(Text[2 * Index + 1]);
    if (!High || !Low)
      return std::nullopt;
    Digest.Bytes_[Index] = static_cast<std::uint8_t>(*High << 4U | *Low);
  }
  return Digest;
}

} // namespace cranberryspool::document
