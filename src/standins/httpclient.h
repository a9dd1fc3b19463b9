#ifndef CRANBERRYSPOOL_STANDINS_HTTPCLIENT_H
#define CRANBERRYSPOOL_STANDINS_HTTPCLIENT_H

#include "framework/time.h"
#include "standins/httprequest.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberryspool::standins {

/// A pooled HTTP/1.1 client for stand-ins. Used by the thread of its I/O
/// context only; must outlive its requests.
class HttpClient {
public:
  enum class Outcome { Answered, ConnectFailed, Cut, TimedOut };

  struct Reply {
    Outcome Outcome_ = Outcome::Cut;
    unsigned Status_ = 0;
    /// Names in lower case.
    std::map<std::string, std::string> Headers_;
    std::string Body_;
  };

  using ReplyHandler = std::function<void(const Reply &)>;

  explicit HttpClient(boost::asio::io_context &Context) : Context_(Context) {}

  /// Sends a request to `IP:port` on an idle connection or a new one.
  void send(const std::string &Address, HttpRequest Request,
            framework::Duration Timeout, ReplyHandler OnReply);

  /// Closes the idle connections to an address.
  void closeIdle(const std::string &Address) { Idle_.erase(Address); }

private:
  class Connection;

  void release(const std::string &Address, std::shared_ptr<Connection> Free);

  boost::asio::io_context &Context_;
  std::map<std::string, std::vector<std::shared_ptr<Connection>>> Idle_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_HTTPCLIENT_H
