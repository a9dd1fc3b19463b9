#ifndef CRANBERRYSPOOL_STANDINS_HTTPREQUEST_H
#define CRANBERRYSPOOL_STANDINS_HTTPREQUEST_H

#include <map>
#include <string>

namespace cranberryspool::standins {

/// A complete HTTP request. In requests that a stand-in's server received, the
/// names of header fields are in lower case.
struct HttpRequest {
  std::string Method_;
  std::string Target_;
  std::map<std::string, std::string> Headers_;
  std::string Body_;

  /// Returns the value of a header field, or an empty string if it is absent.
  std::string header(const std::string &LowerCaseName) const {
    const auto Position = Headers_.find(LowerCaseName);
    return Position == Headers_.end() ? std::string() : Position->second;
  }
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_HTTPREQUEST_H
