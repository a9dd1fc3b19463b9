#include "document/routeindex.h"

#include "document/types/environmentdocument.h"

#include <algorithm>
#include <cctype>

namespace cranberryspool::document {

namespace {

std::string normalizedHost(std::string_view Host) {
  std::string Lower(Host.substr(0, Host.find(':')));
  std::transform(
      Lower.begin(), Lower.end(), Lower.begin(),
      [](unsigned char Each) { return static_cast<char>(std::tolower(Each)); });
  return Lower;
}

} // namespace

RouteIndex::RouteIndex(const EnvironmentDocument &Document) {
  for (std::size_t At = 0; At < Document.Routes_.size(); ++At) {
    const Route &Each = Document.Routes_[At];
    Hosts_[normalizedHost(Each.Host_)].emplace(Each.PathPrefix_, At);
  }
}

std::optional<std::size_t>
RouteIndex::match(std::string_view Host, std::string_view RequestTarget) const {
  const auto Found = Hosts_.find(normalizedHost(Host));
  if (Found == Hosts_.end())
    return std::nullopt;
  std::string_view Prefix = RequestTarget.substr(0, RequestTarget.find('?'));
  while (true) {
    const std::size_t Slash = Prefix.rfind('/');
    if (Slash == std::string_view::npos)
      return std::nullopt;
    Prefix = Prefix.substr(0, Slash + 1);
    const auto Route = Found->second.find(Prefix);
    if (Route != Found->second.end())
      return Route->second;
    Prefix.remove_suffix(1);
  }
}

} // namespace cranberryspool::document
