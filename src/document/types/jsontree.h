#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_JSONTREE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_JSONTREE_H

#include "framework/strongid.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cranberryspool::document {

/// The index of a value in `JsonTree::Nodes_`, in the order of the text.
using JsonNodeId = framework::StrongId<struct JsonNodeIdTag, std::size_t>;

/// A parsed JSON text that keeps the positions of values and duplicate keys,
/// which the value type of Boost.JSON discards.
struct JsonTree {
  struct Member {
    std::string Key_;
    /// The offset of the key's opening quote, in bytes.
    std::size_t KeyOffset_ = 0;
    JsonNodeId Value_;
  };

  using Array = std::vector<JsonNodeId>;
  using Object = std::vector<Member>;
  using Content = std::variant<std::nullptr_t, bool, std::int64_t, double,
                               std::string, Array, Object>;

  struct Node {
    /// The offset of the first byte, or 0 if parsed with
    /// `PositionMode::Without`.
    std::size_t Offset_ = 0;
    Content Content_ = nullptr;
  };

  const Node &node(JsonNodeId Id) const { return Nodes_[Id.value()]; }
  static JsonNodeId root() { return JsonNodeId(0); }

  std::vector<Node> Nodes_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_JSONTREE_H
