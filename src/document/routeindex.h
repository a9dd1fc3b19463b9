#ifndef CRANBERRYSPOOL_DOCUMENT_ROUTEINDEX_H
#define CRANBERRYSPOOL_DOCUMENT_ROUTEINDEX_H

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryspool::document {

struct EnvironmentDocument;

/// Maps a request to the route of its host with the longest matching path
/// prefix.
class RouteIndex {
public:
  RouteIndex() = default;
  /// Indexes the routes of a document.
  explicit RouteIndex(const EnvironmentDocument &Document);

  /// Returns the position in `EnvironmentDocument::Routes_` of the route for a
  /// `Host` field, whose port and letter case are ignored, and a request
  /// target, whose query is ignored.
  std::optional<std::size_t> match(std::string_view Host,
                                   std::string_view RequestTarget) const;

private:
  using Prefixes = std::map<std::string, std::size_t, std::less<>>;
  std::map<std::string, Prefixes, std::less<>> Hosts_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_ROUTEINDEX_H
