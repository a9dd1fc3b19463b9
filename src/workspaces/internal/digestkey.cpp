#include "workspaces/digestkey.h"

#include <openssl/sha.h>

namespace cranberryspool::workspaces {

document::KeyDigest digestKey(std::string_view Key) {
  document::KeyDigest Digest;
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
         Digest.Bytes_.data());
  return Digest;
}

std::string digestText(const document::KeyDigest &Digest) {
  constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  Text.reserve(2 * Digest.Bytes_.size());
  for (const std::uint8_t Byte : Digest.Bytes_) {
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 15U];
  }
  return Text;
}

} // namespace cranberryspool::workspaces
