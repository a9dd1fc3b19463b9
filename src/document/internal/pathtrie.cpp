#include "document/internal/pathtrie.h"

#include "document/internal/pathpattern.h"

namespace cranberryspool::document {

PathTrie::PathTrie() : Nodes_(1) {}

std::optional<KindMatch>
PathTrie::findOverlap(const PathPattern &Pattern) const {
  return overlapFrom(0, Pattern, 0);
}

std::optional<KindMatch> PathTrie::overlapFrom(NodeIndex At,
                                               const PathPattern &Pattern,
                                               std::size_t Depth) const {
  const Node &Here = Nodes_[At];
  if (Here.Rest_)
    return Here.Rest_;
  if (Depth < Pattern.Segments_.size())
    return overlapBelow(At, Pattern, Depth);
  if (Pattern.MatchesRest_)
    return anyBelow(At);
  return Here.Exact_;
}

std::optional<KindMatch> PathTrie::overlapBelow(NodeIndex At,
                                                const PathPattern &Pattern,
                                                std::size_t Depth) const {
  const Node &Here = Nodes_[At];
  if (Here.Any_) {
    if (auto Found = overlapFrom(*Here.Any_, Pattern, Depth + 1))
      return Found;
  }
  const std::string &Segment = Pattern.Segments_[Depth];
  if (Segment != AnySegment) {
    const auto Child = Here.Literals_.find(Segment);
    if (Child == Here.Literals_.end())
      return std::nullopt;
    return overlapFrom(Child->second, Pattern, Depth + 1);
  }
  for (const auto &[Literal, Child] : Here.Literals_) {
    if (auto Found = overlapFrom(Child, Pattern, Depth + 1))
      return Found;
  }
  return std::nullopt;
}

std::optional<KindMatch> PathTrie::anyBelow(NodeIndex At) const {
  const Node &Here = Nodes_[At];
  if (Here.Exact_)
    return Here.Exact_;
  if (Here.Rest_)
    return Here.Rest_;
  if (Here.Any_) {
    if (auto Found = anyBelow(*Here.Any_))
      return Found;
  }
  for (const auto &[Literal, Child] : Here.Literals_) {
    if (auto Found = anyBelow(Child))
      return Found;
  }
  return std::nullopt;
}

PathTrie::NodeIndex PathTrie::childFor(NodeIndex At,
                                       const std::string &Segment) {
  const NodeIndex Fresh = Nodes_.size();
  if (Segment == AnySegment) {
    if (Nodes_[At].Any_)
      return *Nodes_[At].Any_;
    Nodes_[At].Any_ = Fresh;
  } else {
    const auto [Position, IsNew] =
        Nodes_[At].Literals_.try_emplace(Segment, Fresh);
    if (!IsNew)
      return Position->second;
  }
  Nodes_.emplace_back();
  return Fresh;
}

void PathTrie::insert(const PathPattern &Pattern, KindMatch Kind) {
  NodeIndex At = 0;
  for (const std::string &Segment : Pattern.Segments_)
    At = childFor(At, Segment);
  if (Pattern.MatchesRest_)
    Nodes_[At].Rest_ = Kind;
  else
    Nodes_[At].Exact_ = Kind;
}

std::optional<KindMatch> PathTrie::match(std::string_view Path) const {
  return matchFrom(0, Path, Path.empty());
}

std::optional<KindMatch>
PathTrie::matchFrom(NodeIndex At, std::string_view Path, bool IsAtEnd) const {
  const Node &Here = Nodes_[At];
  if (Here.Rest_)
    return Here.Rest_;
  if (IsAtEnd)
    return Here.Exact_;
  const std::size_t Slash = Path.find('/');
  const bool EndsBelow = Slash == std::string_view::npos;
  const std::string_view Segment = Path.substr(0, Slash);
  const std::string_view Below =
      EndsBelow ? std::string_view() : Path.substr(Slash + 1);
  if (const auto Child = Here.Literals_.find(Segment);
      Child != Here.Literals_.end()) {
    if (auto Found = matchFrom(Child->second, Below, EndsBelow))
      return Found;
  }
  if (!Here.Any_)
    return std::nullopt;
  return matchFrom(*Here.Any_, Below, EndsBelow);
}

} // namespace cranberryspool::document
