#ifndef CRANBERRYSPOOL_DOCUMENT_INTERNAL_PATHTRIE_H
#define CRANBERRYSPOOL_DOCUMENT_INTERNAL_PATHTRIE_H

#include "document/types/kindmatch.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryspool::document {

struct PathPattern;

/// A trie of the path patterns of one HTTP method, keyed by path segment.
class PathTrie {
public:
  PathTrie();

  /// Returns a kind whose pattern matches at least one path that the given
  /// pattern matches too.
  std::optional<KindMatch> findOverlap(const PathPattern &Pattern) const;

  /// Adds a pattern, which must not overlap with any pattern in the trie.
  void insert(const PathPattern &Pattern, KindMatch Kind);

  /// Returns the kind that matches a path, which is given without its leading
  /// slash and its query.
  std::optional<KindMatch> match(std::string_view Path) const;

private:
  using NodeIndex = std::size_t;

  struct Node {
    std::map<std::string, NodeIndex, std::less<>> LiteralChildren_;
    std::optional<NodeIndex> WildcardChild_;
    /// The kind whose pattern ends at this node.
    std::optional<KindMatch> ExactKind_;
    /// The kind whose pattern continues with a final `**` after this node.
    std::optional<KindMatch> CatchAllKind_;
  };

  std::optional<KindMatch> matchFrom(NodeIndex Index, std::string_view Path,
                                     bool IsPathConsumed) const;
  std::optional<KindMatch> findOverlapFrom(NodeIndex Index,
                                           const PathPattern &Pattern,
                                           std::size_t Depth) const;
  std::optional<KindMatch> findOverlapInChildren(NodeIndex Index,
                                                 const PathPattern &Pattern,
                                                 std::size_t Depth) const;
  std::optional<KindMatch> findAnyInSubtree(NodeIndex Index) const;
  NodeIndex findOrAddChild(NodeIndex Index, const std::string &Segment);

  std::vector<Node> Nodes_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_INTERNAL_PATHTRIE_H
