#include "document/internal/pathpattern.h"

#include <algorithm>

namespace cranberryspool::document {

namespace {

constexpr std::string_view CatchAllSegment = "**";
constexpr std::size_t MaxPatternBytes = 512;

bool isLiteralCharacter(char Character) {
  const bool IsLetter = (Character >= 'a' && Character <= 'z') ||
                        (Character >= 'A' && Character <= 'Z');
  const bool IsDigit = Character >= '0' && Character <= '9';
  return IsLetter || IsDigit ||
         std::string_view("-._~").find(Character) != std::string_view::npos;
}

bool isLiteralSegment(std::string_view Segment) {
  if (Segment.empty() || Segment == "." || Segment == "..")
    return false;
  return std::all_of(Segment.begin(), Segment.end(), isLiteralCharacter);
}

} // namespace

std::optional<PathPattern> parsePathPattern(std::string_view Text) {
  if (!Text.starts_with('/') || Text.starts_with("/_"))
    return std::nullopt;
  if (Text.size() > MaxPatternBytes)
    return std::nullopt;
  PathPattern Pattern;
  Text.remove_prefix(1);
  while (!Text.empty()) {
    if (Pattern.HasCatchAll_ || Pattern.Segments_.size() == MaxPatternSegments)
      return std::nullopt;
    const std::size_t Slash = Text.find('/');
    const std::string_view Segment = Text.substr(0, Slash);
    if (Segment == CatchAllSegment)
      Pattern.HasCatchAll_ = true;
    else if (Segment == WildcardSegment || isLiteralSegment(Segment))
      Pattern.Segments_.emplace_back(Segment);
    else
      return std::nullopt;
    if (Slash == std::string_view::npos)
      return Pattern;
    Text.remove_prefix(Slash + 1);
    if (Text.empty())
      return std::nullopt;
  }
  return Pattern;
}

} // namespace cranberryspool::document
