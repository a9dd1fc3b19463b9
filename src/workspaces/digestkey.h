#ifndef CRANBERRYSPOOL_WORKSPACES_DIGESTKEY_H
#define CRANBERRYSPOOL_WORKSPACES_DIGESTKEY_H

#include "document/keydigesttext.h"
#include "document/types/keydigest.h"

#include <cstddef>
#include <string_view>

namespace cranberryspool::workspaces {

/// Longer keys are rejected in documents and in requests, in bytes.
inline constexpr std::size_t MaxKeyBytes = 512;

/// Returns the SHA-256 digest of a key.
document::KeyDigest digestKey(std::string_view Key);

using document::digestText;
using document::parseDigest;

} // namespace cranberryspool::workspaces

#endif // CRANBERRYSPOOL_WORKSPACES_DIGESTKEY_H
