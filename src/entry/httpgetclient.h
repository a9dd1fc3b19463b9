#ifndef CRANBERRYSPOOL_ENTRY_HTTPGETCLIENT_H
#define CRANBERRYSPOOL_ENTRY_HTTPGETCLIENT_H

#include "entry/framinglimit.h"
#include "entry/types/endpoint.h"
#include "framework/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cranberryspool::entry {

/// A GET request that the instance sends on its own behalf.
struct HttpGetRequest {
  Endpoint Server_;
  /// The request target: path and query.
  std::string Target_;
  std::string UserAgent_;
  /// The time limit of the exchange: connecting, writing the request and
  /// reading the response.
  framework::Duration Timeout_{};
  /// If it is not zero, the time limit is extended while the response arrives:
  /// this long after each part of it, up to `MaxDuration_` in total.
  framework::Duration ProgressTimeout_{};
  framework::Duration MaxDuration_{};
  /// The maximum size of the response body.
  std::size_t BodyBytes_ = 0;
  /// Called once when a response of at least `LargeBodyBytes_` begins to
  /// arrive.
  std::function<void()> OnLargeBody_ = {};
  std::size_t LargeBodyBytes_ = 0;
  /// True when the connection is kept open for the next request.
  bool IsKeptAlive_ = true;
  /// True when the request is sent again over a new connection if the server
  /// has closed a reused one without a response.
  bool IsSentAgain_ = true;
  /// A connection that was not used for longer is replaced: it may have gone
  /// silent, which only a time limit would show.
  framework::Duration MaxRest_ = std::chrono::hours(1);
};

/// An HTTP client that sends one GET request at a time, over a connection that
/// may be kept open between requests. Used only on the worker that runs the I/O
/// context.
class HttpGetClient : public std::enable_shared_from_this<HttpGetClient> {
public:
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;
  /// Receives the complete response, or nothing when none came in time.
  using Handler = std::function<void(std::optional<Response>)>;

  explicit HttpGetClient(boost::asio::io_context &Io);

  /// Sends a request and calls the handler once with its outcome. A request in
  /// progress is cancelled without calling its handler.
  void get(HttpGetRequest Request, Handler OnResponse);
  /// Returns true when the last response was not read because its body exceeds
  /// the maximum size.
  bool wasTooLarge() const { return WasTooLarge_; }
  /// Returns true when the last response did not come within its time limit.
  bool hasTimedOut() const { return HasTimedOut_; }
  /// Closes the connection and cancels a request in progress without calling
  /// its handler.
  void close();

private:
  using ResponseParser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  /// A connection with the buffers of the operations on it. Each pending
  /// operation holds a reference, since it may complete after its request was
  /// cancelled.
  struct Connection {
    explicit Connection(boost::asio::io_context &Io);

    boost::asio::ip::tcp::socket Socket_;
    boost::beast::http::request<boost::beast::http::empty_body> Output_;
    boost::beast::flat_buffer Input_;
    std::optional<ResponseParser> Parser_;
    FramingLimit Framing_;
  };

  void connect();
  void write();
  void onConnected(const boost::system::error_code &Error);
  void onWritten(const boost::system::error_code &Error);
  void readSome();
  void onRead(const boost::system::error_code &Error);
  void startTimer(framework::Duration SinceStart);
  /// Calls `OnLargeBody_` when the head of such a response has arrived.
  void reportLargeBody();
  /// Moves the time limit after a part of the response has arrived.
  void extendTimer();
  /// Returns true when the server has sent something on the idle connection or
  /// closed it. Such bytes belong to no request.
  bool hasUnreadBytes();
  /// Reconnects when the server had closed a reused connection; otherwise the
  /// request fails.
  void retryOrFail();
  void finish(std::optional<Response> Result);
  void dropConnection();
  /// Wraps a completion handler so that it does nothing once the request in
  /// progress has ended.
  template <typename Method> auto ifCurrent(Method Handle);

  boost::asio::io_context &Io_;
  boost::asio::steady_timer Timer_;
  /// The open or connecting connection; null while there is none.
  std::shared_ptr<Connection> Connection_;
  HttpGetRequest Request_;
  Handler OnResponse_;
  Endpoint ConnectedServer_;
  bool IsConnectionReused_ = false;
  std::uint64_t RequestNumber_ = 0;
  boost::asio::steady_timer::time_point StartedAt_;
  boost::asio::steady_timer::time_point LastUsedAt_;
  bool WasTooLarge_ = false;
  bool HasTimedOut_ = false;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_HTTPGETCLIENT_H
