#ifndef CRANBERRYSPOOL_ENTRY_BASE64_H
#define CRANBERRYSPOOL_ENTRY_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace cranberryspool::entry {

/// Writes bytes in base64 (RFC 4648, with padding).
std::string encodeBase64(std::string_view Bytes);

/// Reads base64; nothing when the text is none.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_BASE64_H
