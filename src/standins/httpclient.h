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

/// An HTTP/1.1 client with a connection pool, for stand-ins. Used only by the
/// thread of its I/O context. The client must outlive its requests.
class HttpClient {
public:
  enum class Outcome {
    ResponseReceived,
    ConnectFailed,
    ConnectionClosed,
    TimedOut
  };

  struct Reply {
    Outcome Outcome_ = Outcome::ConnectionClosed;
    unsigned Status_ = 0;
    /// Header fields by name in lower case.
    std::map<std::string, std::string> Headers_;
    std::string Body_;
  };

  using ReplyHandler = std::function<void(const Reply &)>;

  explicit HttpClient(boost::asio::io_context &Context) : Context_(Context) {}

  /// Sends a request to `IP:port` on an idle pooled connection or a new one.
  void send(const std::string &Address, HttpRequest Request,
            framework::Duration Timeout, ReplyHandler OnReply);

  /// Closes the idle connections to an address.
  void closeIdle(const std::string &Address) { Idle_.erase(Address); }

private:
  class Connection;

  void release(const std::string &Address, std::shared_ptr<Connection> Idle);

  boost::asio::io_context &Context_;
  std::map<std::string, std::vector<std::shared_ptr<Connection>>> Idle_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_HTTPCLIENT_H
