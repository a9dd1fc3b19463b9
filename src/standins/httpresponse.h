#ifndef CRANBERRYSPOOL_STANDINS_HTTPRESPONSE_H
#define CRANBERRYSPOOL_STANDINS_HTTPRESPONSE_H

#include <string>
#include <utility>
#include <vector>

namespace cranberryspool::standins {

/// A response from a stand-in's server.
struct HttpResponse {
  unsigned Status_ = 200;
  std::vector<std::pair<std::string, std::string>> Headers_;
  std::string Body_;
  /// When true, only the first half of the response is sent, and the connection
  /// is then closed.
  bool IsTruncated_ = false;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_HTTPRESPONSE_H
