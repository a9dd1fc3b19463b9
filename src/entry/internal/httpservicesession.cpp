#include "entry/internal/httpservicesession.h"

#include "entry/internal/httpservice.h"
#include "entry/internal/inputlimits.h"
#include "entry/internal/readpart.h"
#include "framework/runtime/clocks.h"

#include <boost/beast/http/write.hpp>

namespace cranberryspool::entry {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds ExchangeTimeout{30};

} // namespace

HttpServiceSession::HttpServiceSession(boost::asio::ip::tcp::socket Socket,
                                       std::uint64_t Number,
                                       HttpService &Service)
    : Socket_(std::move(Socket)), Number_(Number), Service_(Service),
      Timer_(Socket_.get_executor()), Input_(MaxOwnInputBytes) {
  error_code Ignored;
  Socket_.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
}

void HttpServiceSession::readNext() {
  Parser_.emplace();
  Parser_->header_limit(MaxOwnHeadBytes);
  Parser_->body_limit(Service_.maxBodyBytes());
  Parser_->eager(true);
  Framing_ = FramingLimit(2 * MaxOwnHeadBytes);
  WaitingSince_ = framework::readMoment().Monotonic_;
  Timer_.expires_after(ExchangeTimeout);
  Timer_.async_wait([Self = shared_from_this()](const error_code &Error) {
    if (!Error)
      Self->close();
  });
  // A pipelined request may be there already.
  onRead(parseInput(Input_, *Parser_, Framing_));
}

void HttpServiceSession::readSome() {
  readPart(Socket_, Input_, *Parser_, Framing_,
           [Self = shared_from_this()](const error_code &Error) {
             Self->onRead(Error);
           });
}

void HttpServiceSession::onRead(const error_code &Error) {
  if (Error)
    close();
  else if (Parser_->is_done())
    respond();
  else
    readSome();
}

void HttpServiceSession::respond() {
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
  else
    close();
}

void HttpServiceSession::close() {
  Timer_.cancel();
  error_code Ignored;
  Socket_.close(Ignored);
  Service_.remove(Number_);
}

} // namespace cranberryspool::entry
