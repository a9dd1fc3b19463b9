#include "document/internal/pathtrie.h"

#include "document/internal/pathpattern.h"

namespace cranberryspool::document {

PathTrie::PathTrie() : Nodes_(1) {}

std::optional<KindMatch>
PathTrie::findOverlap(const PathPattern &Pattern) const {
  return findOverlapFrom(0, Pattern, 0);
}

std::optional<KindMatch> PathTrie::findOverlapFrom(NodeIndex Index,
                                                   const PathPattern &Pattern,
                                                   std::size_t Depth) const {
  const Node &Current = Nodes_[Index];
  if (Current.CatchAllKind_)
    return Current.CatchAllKind_;
  if (Depth < Pattern.Segments_.size())
    return findOverlapInChildren(Index, Pattern, Depth);
  if (Pattern.HasCatchAll_)
    return findAnyInSubtree(Index);
  return Current.ExactKind_;
}

std::optional<KindMatch>
PathTrie::findOverlapInChildren(NodeIndex Index, const PathPattern &Pattern,
                                std::size_t Depth) const {
  const Node &Current = Nodes_[Index];
  if (Current.WildcardChild_) {
    if (auto Match =
            findOverlapFrom(*Current.WildcardChild_, Pattern, Depth + 1))
      return Match;
  }
  const std::string &Segment = Pattern.Segments_[Depth];
  if (Segment != WildcardSegment) {
    const auto Child = Current.LiteralChildren_.find(Segment);
    if (Child == Current.LiteralChildren_.end())
      return std::nullopt;
    return findOverlapFrom(Child->second, Pattern, Depth + 1);
  }
  for (const auto &[Literal, Child] : Current.LiteralChildren_) {
    if (auto Match = findOverlapFrom(Child, Pattern, Depth + 1))
      return Match;
  }
  return std::nullopt;
}

std::optional<KindMatch> PathTrie::findAnyInSubtree(NodeIndex Index) const {
  const Node &Current = Nodes_[Index];
  if (Current.ExactKind_)
    return Current.ExactKind_;
  if (Current.CatchAllKind_)
    return Current.CatchAllKind_;
  if (Current.WildcardChild_) {
    if (auto Match = findAnyInSubtree(*Current.WildcardChild_))
      return Match;
  }
  for (const auto &[Literal, Child] : Current.LiteralChildren_) {
    if (auto Match = findAnyInSubtree(Child))
      return Match;
  }
  return std::nullopt;
}

PathTrie::NodeIndex PathTrie::findOrAddChild(NodeIndex Index,
                                             const std::string &Segment) {
  const NodeIndex NewIndex = Nodes_.size();
  if (Segment == WildcardSegment) {
    if (Nodes_[Index].WildcardChild_)
      return *Nodes_[Index].WildcardChild_;
    Nodes_[Index].WildcardChild_ = NewIndex;
  } else {
    const auto [Position, IsNew] =
        Nodes_[Index].LiteralChildren_.try_emplace(Segment, NewIndex);
    if (!IsNew)
      return Position->second;
  }
  Nodes_.emplace_back();
  return NewIndex;
}

void PathTrie::insert(const PathPattern &Pattern, KindMatch Kind) {
  NodeIndex Index = 0;
  for (const std::string &Segment : Pattern.Segments_)
    Index = findOrAddChild(Index, Segment);
  if (Pattern.HasCatchAll_)
    Nodes_[Index].CatchAllKind_ = Kind;
  else
    Nodes_[Index].ExactKind_ = Kind;
}

std::optional<KindMatch> PathTrie::match(std::string_view Path) const {
  return matchFrom(0, Path, Path.empty());
}

std::optional<KindMatch> PathTrie::matchFrom(NodeIndex Index,
                                             std::string_view Path,
                                             bool IsPathConsumed) const {
  const Node &Current = Nodes_[Index];
  if (Current.CatchAllKind_)
    return Current.CatchAllKind_;
  if (IsPathConsumed)
    return Current.ExactKind_;
  const std::size_t Slash = Path.find('/');
  const bool IsLastSegment = Slash == std::string_view::npos;
  const std::string_view Segment = Path.substr(0, Slash);
  const std::string_view Remainder =
      IsLastSegment ? std::string_view() : Path.substr(Slash + 1);
  if (const auto Child = Current.LiteralChildren_.find(Segment);
      Child != Current.LiteralChildren_.end()) {
    if (auto Match = matchFrom(Child->second, Remainder, IsLastSegment))
      return Match;
  }
  if (!Current.WildcardChild_)
    return std::nullopt;
  return matchFrom(*Current.WildcardChild_, Remainder, IsLastSegment);
}

} // namespace cranberryspool::document
