#include "entry/internal/httpservicesession.h"

#include "entry/internal/httpservice.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace cranberryspool::entry {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds ExchangeTimeout{30};
constexpr std::size_t MaxHeadBytes = 8 * 1024;

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
  Parser_->header_limit(MaxHeadBytes);
  Parser_->body_limit(Service_.maxBodyBytes());
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
  auto Request = Parser_->release();
  ServiceResponse Result = Service_.handle(
      {std::string(Request.method_string()), std::string(Request.target()),
       std::move(Request.body())});
  Output_ = Response();
  Output_.version(11);
  Output_.result(Result.Status_);
  Output_.keep_alive(Request.keep_alive());
  Output_.set(http::field::content_type, Result.ContentType_);
  Output_.body() = std::move(Result.Body_);
  Output_.prepare_payload();
  http::async_write(
      Socket_, Output_,
      [Self = shared_from_this()](const error_code &WriteError, std::size_t) {
        Self->onWritten(WriteError);
      });
}

void HttpServiceSession::onWritten(const error_code &Error) {
  Timer_.cancel();
  if (!Error && Output_.keep_alive())
    readNext();
}

} // namespace cranberryspool::entry
