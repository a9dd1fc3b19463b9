#ifndef CRANBERRYSPOOL_ENTRY_HTTPGETCLIENT_H
#define CRANBERRYSPOOL_ENTRY_HTTPGETCLIENT_H

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

/// A GET request of the system itself.
struct HttpGetRequest {
  Endpoint Server_;
  /// The path and the query.
  std::string Target_;
  std::string UserAgent_;
  /// For connecting, asking and reading the answer together.
  framework::Duration Timeout_{};
  /// Bytes of an answer's body.
  std::size_t BodyBytes_ = 0;
  /// True when the connection is kept for the next question.
  bool IsKeptAlive_ = true;
};

/// Asks an HTTP server one question at a time, over a connection that may be
/// kept between questions. Belongs to the duty that runs the I/O context.
class HttpGetClient : public std::enable_shared_from_this<HttpGetClient> {
public:
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;
  /// Takes the whole answer, or nothing when there is none in time.
  using Handler = std::function<void(std::optional<Response>)>;

  explicit HttpGetClient(boost::asio::io_context &Io);

  /// Asks; the handler is called once. A question under way is given up and its
  /// handler not called.
  void get(HttpGetRequest Question, Handler OnAnswer);
  /// Closes the connection and gives up a question under way, silently.
  void close();

private:
  using AnswerParser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  /// A connection with all that reads and writes on it use. Each of these holds
  /// it until it has ended, which may be after the question was given up.
  struct Link {
    explicit Link(boost::asio::io_context &Io) : Socket_(Io) {}

    boost::asio::ip::tcp::socket Socket_;
    boost::beast::http::request<boost::beast::http::empty_body> Output_;
    boost::beast::flat_buffer Input_;
    std::optional<AnswerParser> Parser_;
  };

  void connect();
  void write();
  void onConnected(const boost::system::error_code &Error);
  void onWritten(const boost::system::error_code &Error);
  void onRead(const boost::system::error_code &Error);
  /// Connects anew when the server has closed a kept connection; otherwise
  /// there is no answer.
  void retryOrFail();
  void finish(std::optional<Response> Given);
  void dropLink();
  /// Wraps a step of the question under way, so that it does nothing once that
  /// question has ended.
  template <typename Step> auto guarded(Step Next);

  boost::asio::io_context &Io_;
  boost::asio::steady_timer Timer_;
  /// Null while there is no connection.
  std::shared_ptr<Link> Link_;
  HttpGetRequest Question_;
  Handler OnAnswer_;
  Endpoint Connected_;
  bool IsReused_ = false;
  std::uint64_t Turn_ = 0;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_HTTPGETCLIENT_H
