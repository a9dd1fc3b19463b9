#include "entry/internal/httppost.h"

#include "entry/internal/listen.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace cranberryspool::entry {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using net::ip::tcp;

namespace {

/// The steps of one exchange, on a context that its caller runs.
class Exchange {
public:
  Exchange(net::io_context &Io, const PostRoute &Route, const std::string &Body)
      : Route_(Route), Socket_(Io) {
    Question_.version(11);
    Question_.method(http::verb::post);
    Question_.target(Route.Path_);
    Question_.set(http::field::host, Route.Destination_.Address_);
    Question_.set(http::field::content_type, "application/json");
    Question_.keep_alive(false);
    Question_.body() = Body;
    Question_.prepare_payload();
    Answer_.body_limit(Route.AnswerBytes_);
  }

  void start() {
    error_code Error;
    Socket_.open(tcp::v4(), Error);
    if (!Error)
      Socket_.bind(toTcp({Route_.Source_, 0}), Error);
    if (Error)
      return;
    Socket_.async_connect(toTcp(Route_.Destination_),
                          [this](const error_code &Failure) {
                            if (!Failure)
                              write();
                          });
  }

  std::optional<std::string> takeAnswer() {
    if (!IsDone_ || Answer_.get().result() != http::status::ok)
      return std::nullopt;
    return std::move(Answer_.get().body());
  }

private:
  void write() {
    error_code Ignored;
    Socket_.set_option(tcp::no_delay(true), Ignored);
    http::async_write(Socket_, Question_,
                      [this](const error_code &Failure, std::size_t) {
                        if (!Failure)
                          read();
                      });
  }

  void read() {
    http::async_read(
        Socket_, Input_, Answer_,
        [this](const error_code &Failure, std::size_t) { IsDone_ = !Failure; });
  }

  const PostRoute &Route_;
  tcp::socket Socket_;
  http::request<http::string_body> Question_;
  boost::beast::flat_buffer Input_;
  http::response_parser<http::string_body> Answer_;
  bool IsDone_ = false;
};

} // namespace

std::optional<std::string> postAndWait(const PostRoute &Route,
                                       const std::string &Body) {
  net::io_context Io(1);
  Exchange Steps(Io, Route, Body);
  Steps.start();
  Io.run_for(Route.Timeout_);
  return Steps.takeAnswer();
}

} // namespace cranberryspool::entry
