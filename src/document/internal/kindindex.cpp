#include "document/kindindex.h"

#include "document/internal/pathpattern.h"
#include "document/types/environmentdocument.h"

namespace cranberryspool::document {

namespace {

/// Returns true when the segment contains a percent-encoded slash, or a
/// backslash, percent-encoded or not.
bool hasEncodedSeparator(std::string_view Segment) {
  for (std::size_t Percent = Segment.find('%');
       Percent != std::string_view::npos;
       Percent = Segment.find('%', Percent + 1)) {
    const std::string_view HexDigits = Segment.substr(Percent + 1, 2);
    if (HexDigits == "2f" || HexDigits == "2F" || HexDigits == "5c" ||
        HexDigits == "5C")
      return true;
  }
  return Segment.find('\\') != std::string_view::npos;
}

/// Returns true for `.` and `..`, also when their dots are percent-encoded.
bool isDotSegment(std::string_view Segment) {
  std::size_t Dots = 0;
  while (!Segment.empty()) {
    const bool IsEncoded =
        Segment.starts_with("%2e") || Segment.starts_with("%2E");
    if (!IsEncoded && !Segment.starts_with('.'))
      return false;
    Segment.remove_prefix(IsEncoded ? 3 : 1);
    ++Dots;
  }
  return Dots == 1 || Dots == 2;
}

bool isUnambiguousSegment(std::string_view Segment) {
  return !Segment.empty() && !isDotSegment(Segment) &&
         !hasEncodedSeparator(Segment);
}

/// Returns true when every HTTP implementation splits the path into the same
/// segments.
bool isUnambiguousPath(std::string_view Path) {
  while (true) {
    const std::size_t Slash = Path.find('/');
    if (!isUnambiguousSegment(Path.substr(0, Slash)))
      return false;
    if (Slash == std::string_view::npos)
      return true;
    Path.remove_prefix(Slash + 1);
  }
}

} // namespace

KindIndex::KindIndex(const EnvironmentDocument &Document) {
  std::uint32_t ServiceOrdinal = 0;
  for (const Service &Declared : Document.Services_) {
    std::uint32_t KindOrdinal = 0;
    for (const RequestKind &Kind : Declared.Kinds_) {
      if (const auto Pattern = parsePathPattern(Kind.PathPattern_))
        Methods_[Kind.Method_].insert(
            *Pattern,
            {ServicePosition(ServiceOrdinal), KindPosition(KindOrdinal)});
      ++KindOrdinal;
    }
    ++ServiceOrdinal;
  }
}

std::optional<KindMatch>
KindIndex::match(std::string_view Method,
                 std::string_view RequestTarget) const {
  const auto Trie = Methods_.find(Method);
  if (Trie == Methods_.end())
    return std::nullopt;
  std::string_view Path = RequestTarget.substr(0, RequestTarget.find('?'));
  if (!Path.starts_with('/') || Path.starts_with("/_"))
    return std::nullopt;
  Path.remove_prefix(1);
  if (!Path.empty() && !isUnambiguousPath(Path))
    return std::nullopt;
  return Trie->second.match(Path);
}

} // namespace cranberryspool::document
