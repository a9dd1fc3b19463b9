#ifndef CRANBERRYSPOOL_STANDINS_HTTPSERVER_H
#define CRANBERRYSPOOL_STANDINS_HTTPSERVER_H

#include "framework/strongid.h"
#include "framework/time.h"
#include "standins/httprequest.h"
#include "standins/httpresponse.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace cranberryspool::standins {

/// A connection that a stand-in's server accepted.
using SessionId = framework::StrongId<struct SessionIdTag, std::uint64_t>;

/// A small HTTP/1.1 server for stand-ins. It reads one request at a time on a
/// connection and is answered by `respond`, at any later time, in any order.
/// Used by the thread of its I/O context only.
class HttpServer {
public:
  using RequestHandler = std::function<void(SessionId, const HttpRequest &)>;
  using ClosedHandler = std::function<void(SessionId)>;

  /// Binds and listens at once; throws `boost::system::system_error` when the
  /// address cannot be had. `OnClosed` tells of a connection that its client
  /// closed while a request was not yet answered.
  HttpServer(boost::asio::io_context &Context,
             const boost::asio::ip::tcp::endpoint &Address,
             RequestHandler OnRequest, ClosedHandler OnClosed);
  ~HttpServer();

  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Answers the request that the session waits on. A session that is gone or
  /// silent is passed over.
  void respond(SessionId Session, const HttpResponse &Response);

  /// Delays the first read of each connection accepted from now on.
  void setConnectionSetupTime(framework::Duration Time) { SetupTime_ = Time; }

  /// Connections above the limit are closed as soon as they are accepted.
  void setConnectionLimit(std::size_t Limit) { ConnectionLimit_ = Limit; }

  /// Makes all open connections silent: they stay open, but nothing is read
  /// from them or written to them again. New ones work.
  void silenceConnections();

  /// Closes all open connections.
  void closeConnections();

  std::size_t connectionCount() const { return Sessions_.size(); }

  /// The largest number of connections that were ever open at once.
  std::size_t maxConnectionCount() const { return MaxConnectionCount_; }

  /// Connections that were closed for being above the limit.
  std::size_t refusedConnectionCount() const { return RefusedCount_; }

private:
  class Session;

  void accept();
  void addSession(boost::asio::ip::tcp::socket Socket);
  void removeSession(SessionId Id, bool WasPending);

  boost::asio::io_context &Context_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  RequestHandler OnRequest_;
  ClosedHandler OnClosed_;
  framework::Duration SetupTime_{};
  std::size_t ConnectionLimit_ = 100000;
  std::size_t MaxConnectionCount_ = 0;
  std::size_t RefusedCount_ = 0;
  std::uint64_t LastSession_ = 0;
  std::map<SessionId, std::shared_ptr<Session>> Sessions_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_HTTPSERVER_H
