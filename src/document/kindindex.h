#ifndef CRANBERRYSPOOL_DOCUMENT_KINDINDEX_H
#define CRANBERRYSPOOL_DOCUMENT_KINDINDEX_H

#include "document/internal/pathtrie.h"
#include "document/types/kindmatch.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryspool::document {

struct EnvironmentDocument;

/// Maps a request to its request kind by method and path. A lookup visits each
/// node of one method's trie at most once and allocates no memory.
class KindIndex {
public:
  KindIndex() = default;

  /// Indexes the kinds of a document that `parseDocument` accepted.
  explicit KindIndex(const EnvironmentDocument &Document);

  /// Returns the kind for a method and a request target (RFC 9112), whose query
  /// is ignored. No kind matches a path that targets could interpret in
  /// different ways (empty, `.` or `..` segments, backslashes, percent-encoded
  /// slashes or backslashes), nor a path whose first segment starts with an
  /// underscore, which is reserved.
  std::optional<KindMatch> match(std::string_view Method,
                                 std::string_view RequestTarget) const;

private:
  std::map<std::string, PathTrie, std::less<>> Methods_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_KINDINDEX_H
