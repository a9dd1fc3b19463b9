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

/// Identifies a connection that a stand-in's server accepted.
using SessionId = framework::StrongId<struct SessionIdTag, std::uint64_t>;

/// A small HTTP/1.1 server for stand-ins. It reads one request at a time from
/// each connection. Requests are answered through `respond`, at any later time
/// and in any order. Used only by the thread of its I/O context.
class HttpServer {
public:
  using RequestHandler = std::function<void(SessionId, const HttpRequest &)>;
  using ClosedHandler = std::function<void(SessionId)>;

  /// Binds and starts to listen. Throws `boost::system::system_error` when the
  /// address is not available. `OnClosed` is called when a client closes its
  /// connection before its request has been answered.
  HttpServer(boost::asio::io_context &Context,
             const boost::asio::ip::tcp::endpoint &Address,
             RequestHandler OnRequest, ClosedHandler OnClosed);
  ~HttpServer();

  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Sends the response to the pending request of a session. Does nothing when
  /// the session is closed or stalled.
  void respond(SessionId Session, const HttpResponse &Response);

  /// Sets the delay before the first read of each connection accepted from now
  /// on.
  void setConnectionSetupTime(framework::Duration Time) { SetupTime_ = Time; }

  /// Sets the limit above which connections are closed as soon as they are
  /// accepted.
  void setConnectionLimit(std::size_t Limit) { ConnectionLimit_ = Limit; }

  /// Stalls all open connections: they stay open, but no further request is
  /// handled and no further response is sent. New connections are unaffected.
  void stallConnections();

  /// Closes all open connections.
  void closeConnections();

  std::size_t connectionCount() const { return Sessions_.size(); }

  /// The maximum number of connections that have been open at the same time.
  std::size_t maxConnectionCount() const { return MaxConnectionCount_; }

  /// The number of connections closed because of the connection limit.
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
