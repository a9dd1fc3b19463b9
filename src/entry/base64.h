#ifndef CRANBERRYSPOOL_ENTRY_BASE64_H
#define CRANBERRYSPOOL_ENTRY_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace cranberryspool::entry {

/// Encodes bytes in base64 (RFC 4648, with padding).
std::string encodeBase64(std::string_view Bytes);

/// Decodes base64 text; returns nothing when it is invalid.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_BASE64_H
