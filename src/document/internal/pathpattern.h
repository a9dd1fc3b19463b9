#ifndef CRANBERRYSPOOL_DOCUMENT_INTERNAL_PATHPATTERN_H
#define CRANBERRYSPOOL_DOCUMENT_INTERNAL_PATHPATTERN_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryspool::document {

/// The most segments of a path pattern.
inline constexpr std::size_t MaxPatternSegments = 16;

/// A path pattern split at its slashes.
struct PathPattern {
  /// Literal segments; an asterisk stands for any one segment.
  std::vector<std::string> Segments_;
  /// True when the pattern ends in `**`: any further segments, or none.
  bool HasCatchAll_ = false;
};

/// The segment that matches any one segment.
inline constexpr std::string_view WildcardSegment = "*";

/// Splits a pattern such as `/pieces/*`; returns nothing when it is malformed.
std::optional<PathPattern> parsePathPattern(std::string_view Text);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_INTERNAL_PATHPATTERN_H
