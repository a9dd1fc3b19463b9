#ifndef CRANBERRYSPOOL_WORKSPACES_KEYINDEX_H
#define CRANBERRYSPOOL_WORKSPACES_KEYINDEX_H

#include "document/types/keydigest.h"
#include "workspaces/types/processsecret.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cranberryspool::document {
struct Workspace;
} // namespace cranberryspool::document

namespace cranberryspool::workspaces {

/// Maps the digests of keys to workspaces. It stores digests that are keyed
/// with the secret of the process, so that neither its content nor the time of
/// a look-up tells anything about a key.
class KeyIndex {
public:
  explicit KeyIndex(const ProcessSecret &Secret) : Secret_(Secret) {}

  /// Replaces the content.
  void assign(const std::vector<document::Workspace> &Workspaces);

  /// Returns the position of the workspace that has the key.
  std::optional<std::size_t> find(const document::KeyDigest &Digest) const;

private:
  struct Entry {
    document::KeyDigest Keyed_;
    std::size_t Workspace_ = 0;
  };

  document::KeyDigest keyed(const document::KeyDigest &Digest) const;
  /// Returns the bucket of a keyed digest. There are as many as entries, and
  /// their order is that of the digests.
  std::size_t bucketOf(const document::KeyDigest &Keyed) const;

  ProcessSecret Secret_;
  /// Sorted by the keyed digest.
  std::vector<Entry> Entries_;
  /// For each bucket the position of its first entry, followed by the number of
  /// entries. A bucket has one entry on average.
  std::vector<std::uint32_t> Starts_;
};

} // namespace cranberryspool::workspaces

#endif // CRANBERRYSPOOL_WORKSPACES_KEYINDEX_H
