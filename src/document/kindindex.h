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

/// Finds the kind that a request belongs to. A look-up visits each node of one
/// method's trie at most once and allocates nothing.
class KindIndex {
public:
  KindIndex() = default;

  /// Indexes the kinds of a document that `parseDocument` accepted.
  explicit KindIndex(const EnvironmentDocument &Document);

  /// Returns the kind for a method and a request target, whose query is
  /// ignored. A path that targets could read in two ways (empty, `.` or `..`
  /// segments, an encoded slash) belongs to no kind, nor does one whose first
  /// segment starts with an underscore.
  std::optional<KindMatch> match(std::string_view Method,
                                 std::string_view RequestTarget) const;

private:
  std::map<std::string, PathTrie, std::less<>> Methods_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_KINDINDEX_H
