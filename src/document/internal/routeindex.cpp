#include "document/routeindex.h"

#include "document/types/environmentdocument.h"

#include <algorithm>
#include <cctype>

namespace cranberryspool::document {

namespace {

std::string normalizedHost(std::string_view Host) {
  std::string Normalized(Host.substr(0, Host.find(':')));
  std::transform(Normalized.begin(), Normalized.end(), Normalized.begin(),
                 [](unsigned char Character) {
                   return static_cast<char>(std::tolower(Character));
                 });
  return Normalized;
}

} // namespace

RouteIndex::RouteIndex(const EnvironmentDocument &Document) {
  for (std::size_t Position = 0; Position < Document.Routes_.size();
       ++Position) {
    const Route &Each = Document.Routes_[Position];
    Hosts_[normalizedHost(Each.Host_)].emplace(Each.PathPrefix_, Position);
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
