#include "entry/base64.h"

#include <openssl/evp.h>

namespace cranberryspool::entry {

namespace {

constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupCharacters = 4;

const unsigned char *asUnsignedBytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

std::string encodeBase64(std::string_view Bytes) {
  const std::size_t Groups = (Bytes.size() + GroupBytes - 1) / GroupBytes;
  // EVP_EncodeBlock also writes a terminating zero.
  std::string Text(Groups * GroupCharacters + 1, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                  asUnsignedBytes(Bytes), static_cast<int>(Bytes.size()));
  Text.pop_back();
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.size() % GroupCharacters != 0)
    return std::nullopt;
  if (Text.empty())
    return std::string();
  std::string Bytes(Text.size() / GroupCharacters * GroupBytes, '\0');
  const int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      asUnsignedBytes(Text), static_cast<int>(Text.size()));
  if (Length < 0)
    return std::nullopt;
  // EVP_DecodeBlock counts the padding as decoded bytes.
  std::size_t Padding = 0;
  while (Padding < 2 && Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Bytes.resize(static_cast<std::size_t>(Length) - Padding);
  return Bytes;
}

} // namespace cranberryspool::entry
