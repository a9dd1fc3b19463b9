#include "entry/httpexchange.h"

#include "entry/endpointtext.h"
#include "entry/internal/listen.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace cranberryspool::entry {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

HttpExchange::HttpExchange(net::io_context &Io) : Socket_(Io), Timer_(Io) {}

template <typename Step> auto HttpExchange::guarded(Step Next) {
  return [Self = shared_from_this(), Turn = Turn_,
          Next](const error_code &Error, auto &&...) {
    if (Turn == Self->Turn_)
      ((*Self).*Next)(Error);
  };
}

void HttpExchange::ask(HttpQuestion Question, Handler OnAnswer) {
  if (OnAnswer_)
    close();
  ++Turn_;
  Question_ = std::move(Question);
  OnAnswer_ = std::move(OnAnswer);
  Timer_.expires_after(Question_.Timeout_);
  Timer_.async_wait(
      [Self = shared_from_this(), Turn = Turn_](const error_code &Error) {
        if (Error || Turn != Self->Turn_ || !Self->OnAnswer_)
          return;
        Self->finish(std::nullopt);
      });
  if (Socket_.is_open() && Connected_ == Question_.To_) {
    IsReused_ = true;
    write();
  } else {
    connect();
  }
}

void HttpExchange::close() {
  ++Turn_;
  OnAnswer_ = nullptr;
  Timer_.cancel();
  error_code Ignored;
  Socket_.close(Ignored);
}

void HttpExchange::connect() {
  error_code Ignored;
  Socket_.close(Ignored);
  IsReused_ = false;
  Connected_ = Question_.To_;
  Socket_.async_connect(toTcp(Question_.To_),
                        guarded(&HttpExchange::onConnected));
}

void HttpExchange::onConnected(const error_code &Error) {
  if (Error) {
    finish(std::nullopt);
    return;
  }
  error_code Ignored;
  Socket_.set_option(net::ip::tcp::no_delay(true), Ignored);
  write();
}

void HttpExchange::write() {
  Output_ = {};
  Output_.version(11);
  Output_.method(http::verb::get);
  Output_.target(Question_.Target_);
  Output_.set(http::field::host, textOf(Question_.To_));
  if (!Question_.UserAgent_.empty())
    Output_.set(http::field::user_agent, Question_.UserAgent_);
  Output_.keep_alive(Question_.IsKeptAlive_);
  Input_.clear();
  http::async_write(Socket_, Output_, guarded(&HttpExchange::onWritten));
}

void HttpExchange::onWritten(const error_code &Error) {
  if (Error) {
    retryOrFail();
    return;
  }
  Parser_.emplace();
  Parser_->body_limit(Question_.BodyBytes_);
  http::async_read(Socket_, Input_, *Parser_, guarded(&HttpExchange::onRead));
}

void HttpExchange::onRead(const error_code &Error) {
  if (Error) {
    retryOrFail();
    return;
  }
  finish(Parser_->release());
}

void HttpExchange::retryOrFail() {
  const bool HasBegun = Parser_ && Parser_->got_some();
  if (IsReused_ && !HasBegun)
    connect();
  else
    finish(std::nullopt);
}

void HttpExchange::finish(std::optional<Answer> Given) {
  ++Turn_;
  Timer_.cancel();
  Parser_.reset();
  const bool IsKept = Given && Given->keep_alive() && Question_.IsKeptAlive_ &&
                      Input_.size() == 0;
  if (!IsKept) {
    error_code Ignored;
    Socket_.close(Ignored);
  }
  const Handler OnAnswer = std::exchange(OnAnswer_, nullptr);
  OnAnswer(std::move(Given));
}

} // namespace cranberryspool::entry
