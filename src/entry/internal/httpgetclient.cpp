#include "entry/httpgetclient.h"

#include "entry/endpointtext.h"
#include "entry/internal/inputlimits.h"
#include "entry/internal/listen.h"
#include "entry/internal/readpart.h"
#include "entry/internal/statuscode.h"

#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace cranberryspool::entry {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

HttpGetClient::Connection::Connection(net::io_context &Io)
    : Socket_(Io), Input_(MaxOwnInputBytes) {}

HttpGetClient::HttpGetClient(net::io_context &Io) : Io_(Io), Timer_(Io) {}

template <typename Method> auto HttpGetClient::ifCurrent(Method Handle) {
  return [Self = shared_from_this(), HeldConnection = Connection_,
          RequestNumber = RequestNumber_,
          Handle](const error_code &Error, auto &&...) {
    if (RequestNumber == Self->RequestNumber_)
      ((*Self).*Handle)(Error);
  };
}

void HttpGetClient::get(HttpGetRequest Request, Handler OnResponse) {
  if (OnResponse_)
    close();
  ++RequestNumber_;
  Request_ = std::move(Request);
  OnResponse_ = std::move(OnResponse);
  WasTooLarge_ = false;
  HasTimedOut_ = false;
  StartedAt_ = net::steady_timer::clock_type::now();
  startTimer(Request_.Timeout_);
  const bool HasRested = StartedAt_ > LastUsedAt_ + Request_.MaxRest_;
  if (Connection_ && ConnectedServer_ == Request_.Server_ && !HasRested &&
      !hasUnreadBytes()) {
    IsConnectionReused_ = true;
    write();
  } else {
    connect();
  }
}

void HttpGetClient::startTimer(framework::Duration SinceStart) {
  Timer_.expires_at(StartedAt_ + SinceStart);
  Timer_.async_wait([Self = shared_from_this(),
                     RequestNumber = RequestNumber_](const error_code &Error) {
    if (Error || RequestNumber != Self->RequestNumber_ || !Self->OnResponse_)
      return;
    Self->HasTimedOut_ = true;
    Self->finish(std::nullopt);
  });
}

void HttpGetClient::extendTimer() {
  if (Request_.ProgressTimeout_ == framework::Duration::zero())
    return;
  const auto Elapsed = std::chrono::duration_cast<framework::Duration>(
      net::steady_timer::clock_type::now() - StartedAt_);
  startTimer(
      std::max(Request_.Timeout_, std::min(Elapsed + Request_.ProgressTimeout_,
                                           Request_.MaxDuration_)));
}

bool HttpGetClient::hasUnreadBytes() {
  error_code Error;
  const std::size_t Bytes = Connection_->Socket_.available(Error);
  return Error || Bytes > 0;
}

void HttpGetClient::close() {
  ++RequestNumber_;
  OnResponse_ = nullptr;
  Timer_.cancel();
  dropConnection();
}

void HttpGetClient::dropConnection() {
  if (!Connection_)
    return;
  error_code Ignored;
  Connection_->Socket_.close(Ignored);
  Connection_.reset();
}

void HttpGetClient::connect() {
  dropConnection();
  Connection_ = std::make_shared<Connection>(Io_);
  IsConnectionReused_ = false;
  ConnectedServer_ = Request_.Server_;
  Connection_->Socket_.async_connect(toTcp(Request_.Server_),
                                     ifCurrent(&HttpGetClient::onConnected));
}

void HttpGetClient::onConnected(const error_code &Error) {
  if (Error) {
    finish(std::nullopt);
    return;
  }
  error_code Ignored;
  Connection_->Socket_.set_option(net::ip::tcp::no_delay(true), Ignored);
  write();
}

void HttpGetClient::write() {
  auto &Output = Connection_->Output_;
  Output = {};
  Output.version(11);
  Output.method(http::verb::get);
  Output.target(Request_.Target_);
  Output.set(http::field::host, textOf(Request_.Server_));
  if (!Request_.UserAgent_.empty())
    Output.set(http::field::user_agent, Request_.UserAgent_);
  Output.keep_alive(Request_.IsKeptAlive_);
  Connection_->Input_.clear();
  Connection_->Parser_.reset();
  http::async_write(Connection_->Socket_, Output,
                    ifCurrent(&HttpGetClient::onWritten));
}

void HttpGetClient::onWritten(const error_code &Error) {
  if (Error) {
    retryOrFail();
    return;
  }
  auto &Parser = Connection_->Parser_.emplace();
  Connection_->Input_.max_size(
      std::clamp(Request_.BodyBytes_, 2 * MaxOwnHeadBytes, MaxOwnInputBytes));
  Connection_->Framing_ = FramingLimit(2 * MaxOwnHeadBytes);
  Parser.header_limit(MaxOwnHeadBytes);
  Parser.body_limit(Request_.BodyBytes_);
  Parser.eager(true);
  readSome();
}

void HttpGetClient::readSome() {
  readPart(Connection_->Socket_, Connection_->Input_, *Connection_->Parser_,
           Connection_->Framing_, ifCurrent(&HttpGetClient::onRead));
}

void HttpGetClient::onRead(const error_code &Error) {
  if (Error) {
    WasTooLarge_ = Error == http::error::body_limit ||
                   Error == http::error::header_limit ||
                   Error == http::error::buffer_overflow;
    retryOrFail();
    return;
  }
  if (!Connection_->Parser_->is_done()) {
    reportLargeBody();
    extendTimer();
    readSome();
    return;
  }
  if (isStatusCode(Connection_->Parser_->get().result_int()))
    finish(Connection_->Parser_->release());
  else
    finish(std::nullopt);
}

void HttpGetClient::reportLargeBody() {
  const ResponseParser &Parser = *Connection_->Parser_;
  if (!Request_.OnLargeBody_ || !Parser.is_header_done() ||
      Parser.get().result() != http::status::ok ||
      Parser.content_length().value_or(0) < Request_.LargeBodyBytes_)
    return;
  std::exchange(Request_.OnLargeBody_, nullptr)();
}

void HttpGetClient::retryOrFail() {
  const bool HasReceivedBytes =
      Connection_->Parser_ && Connection_->Parser_->got_some();
  if (IsConnectionReused_ && Request_.IsSentAgain_ && !HasReceivedBytes)
    connect();
  else
    finish(std::nullopt);
}

void HttpGetClient::finish(std::optional<Response> Result) {
  ++RequestNumber_;
  Timer_.cancel();
  LastUsedAt_ = net::steady_timer::clock_type::now();
  const bool IsReusable = Result && Result->keep_alive() &&
                          Request_.IsKeptAlive_ &&
                          Connection_->Input_.size() == 0;
  if (!IsReusable)
    dropConnection();
  const Handler OnResponse = std::exchange(OnResponse_, nullptr);
  OnResponse(std::move(Result));
}

} // namespace cranberryspool::entry
