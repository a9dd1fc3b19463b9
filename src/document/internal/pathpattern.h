#ifndef CRANBERRYSPOOL_DOCUMENT_INTERNAL_PATHPATTERN_H
#define CRANBERRYSPOOL_DOCUMENT_INTERNAL_PATHPATTERN_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryspool::document {

/// The maximum number of segments in a path pattern.
inline constexpr std::size_t MaxPatternSegments = 16;

/// A path pattern, split into segments.
struct PathPattern {
  /// The segments without a final `**`: literals or `WildcardSegment`.
  std::vector<std::string> Segments_;
  /// True when the pattern ends in `**`, which matches any number of further
  /// segments, including none.
  bool HasCatchAll_ = false;
};

/// The pattern segment that matches exactly one path segment.
inline constexpr std::string_view WildcardSegment = "*";

/// Parses a pattern such as `/pieces/*`; returns nothing when it is malformed.
std::optional<PathPattern> parsePathPattern(std::string_view Text);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_INTERNAL_PATHPATTERN_H
