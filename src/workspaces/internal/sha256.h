#ifndef CRANBERRYSPOOL_WORKSPACES_INTERNAL_SHA256_H
#define CRANBERRYSPOOL_WORKSPACES_INTERNAL_SHA256_H

#include "document/types/keydigest.h"

#include <cstddef>

namespace cranberryspool::workspaces {

/// Returns the SHA-256 digest of the bytes. It does not allocate.
document::KeyDigest sha256(const void *Data, std::size_t Size);

} // namespace cranberryspool::workspaces

#endif // CRANBERRYSPOOL_WORKSPACES_INTERNAL_SHA256_H
