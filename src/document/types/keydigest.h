#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_KEYDIGEST_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_KEYDIGEST_H

#include <array>
#include <cstdint>

namespace cranberryspool::document {

/// The SHA-256 digest of a workspace's key. Documents and messages hold only
/// digests, so that no key can be read from them.
struct KeyDigest {
  std::array<std::uint8_t, 32> Bytes_{};

  friend auto operator<=>(const KeyDigest &, const KeyDigest &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_KEYDIGEST_H
