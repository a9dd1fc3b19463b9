#include "entry/internal/operatorsession.h"

#include "entry/internal/operatorserver.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace cranberryspool::entry {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds IdleTimeout{30};
constexpr std::size_t HeadBytes = 8 * 1024;

} // namespace

OperatorSession::OperatorSession(boost::asio::ip::tcp::socket Socket,
                                 OperatorServer &Server)
    : Socket_(std::move(Socket)), Server_(Server),
      Timer_(Socket_.get_executor()), Input_(HeadBytes) {}

void OperatorSession::readNext() {
  Parser_.emplace();
  Parser_->header_limit(HeadBytes);
  Timer_.expires_after(IdleTimeout);
  Timer_.async_wait([Self = shared_from_this()](const error_code &Error) {
    error_code Ignored;
    if (!Error)
      Self->Socket_.close(Ignored);
  });
  http::async_read(
      Socket_, Input_, *Parser_,
      [Self = shared_from_this()](const error_code &Error, std::size_t) {
        Self->onRead(Error);
      });
}

void OperatorSession::onRead(const error_code &Error) {
  if (Error) {
    Timer_.cancel();
    return;
  }
  const auto &Question = Parser_->get();
  Output_ = Response();
  Output_.version(11);
  Output_.keep_alive(Question.keep_alive());
  Output_.set(http::field::content_type, "text/plain");
  Output_.result(http::status::ok);
  if (Question.target() == "/healthz") {
    Output_.body() = "ok\n";
  } else if (Question.target() == "/readyz") {
    const bool IsReady = Server_.shared().IsReady_.load();
    Output_.result(IsReady ? http::status::ok
                           : http::status::service_unavailable);
    Output_.body() = IsReady ? "ready\n" : "not ready\n";
  } else {
    Output_.result(http::status::not_found);
    Output_.body() = "no such page\n";
  }
  Output_.prepare_payload();
  http::async_write(
      Socket_, Output_,
      [Self = shared_from_this()](const error_code &Failure, std::size_t) {
        Self->onWritten(Failure);
      });
}

void OperatorSession::onWritten(const error_code &Error) {
  Timer_.cancel();
  if (!Error && Output_.keep_alive())
    readNext();
}

} // namespace cranberryspool::entry
