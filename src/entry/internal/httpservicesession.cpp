#include "entry/internal/httpservicesession.h"

#include "entry/internal/httpservice.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace cranberryspool::entry {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds ExchangeTimeout{30};
constexpr std::size_t HeadBytes = 8 * 1024;

} // namespace

HttpServiceSession::HttpServiceSession(boost::asio::ip::tcp::socket Socket,
                                       HttpService &Service)
    : Socket_(std::move(Socket)), Service_(Service),
      Timer_(Socket_.get_executor()) {
  error_code Ignored;
  Socket_.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
}

void HttpServiceSession::readNext() {
  Parser_.emplace();
  Parser_->header_limit(HeadBytes);
  Parser_->body_limit(Service_.bodyBytes());
  Timer_.expires_after(ExchangeTimeout);
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

void HttpServiceSession::onRead(const error_code &Error) {
  if (Error) {
    Timer_.cancel();
    return;
  }
  auto Question = Parser_->release();
  ServiceAnswer Answer = Service_.answer({std::string(Question.method_string()),
                                          std::string(Question.target()),
                                          std::move(Question.body())});
  Output_ = Response();
  Output_.version(11);
  Output_.result(Answer.Status_);
  Output_.keep_alive(Question.keep_alive());
  Output_.set(http::field::content_type, Answer.ContentType_);
  Output_.body() = std::move(Answer.Body_);
  Output_.prepare_payload();
  http::async_write(
      Socket_, Output_,
      [Self = shared_from_this()](const error_code &Failure, std::size_t) {
        Self->onWritten(Failure);
      });
}

void HttpServiceSession::onWritten(const error_code &Error) {
  Timer_.cancel();
  if (!Error && Output_.keep_alive())
    readNext();
}

} // namespace cranberryspool::entry
