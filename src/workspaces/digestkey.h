#ifndef CRANBERRYSPOOL_WORKSPACES_DIGESTKEY_H
#define CRANBERRYSPOOL_WORKSPACES_DIGESTKEY_H

#include "document/types/keydigest.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryspool::workspaces {

/// Longer keys are rejected in documents and in requests, in bytes.
inline constexpr std::size_t MaxKeyBytes = 512;

/// Returns the SHA-256 digest of a key.
document::KeyDigest digestKey(std::string_view Key);

/// Returns a digest as 64 lower-case hexadecimal digits.
std::string digestText(const document::KeyDigest &Digest);

/// Parses the text that `digestText` returns; returns nothing for other text.
std::optional<document::KeyDigest> parseDigest(std::string_view Text);

} // namespace cranberryspool::workspaces

#endif // CRANBERRYSPOOL_WORKSPACES_DIGESTKEY_H
