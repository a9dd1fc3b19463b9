#include "entry/httpgetclient.h"

#include "entry/endpointtext.h"
#include "entry/internal/listen.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace cranberryspool::entry {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

HttpGetClient::HttpGetClient(net::io_context &Io) : Io_(Io), Timer_(Io) {}

template <typename Step> auto HttpGetClient::guarded(Step Next) {
  return [Self = shared_from_this(), Held = Link_, Turn = Turn_,
          Next](const error_code &Error, auto &&...) {
    if (Turn == Self->Turn_)
      ((*Self).*Next)(Error);
  };
}

void HttpGetClient::get(HttpGetRequest Question, Handler OnAnswer) {
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
  if (Link_ && Connected_ == Question_.Server_) {
    IsReused_ = true;
    write();
  } else {
    connect();
  }
}

void HttpGetClient::close() {
  ++Turn_;
  OnAnswer_ = nullptr;
  Timer_.cancel();
  dropLink();
}

void HttpGetClient::dropLink() {
  if (!Link_)
    return;
  error_code Ignored;
  Link_->Socket_.close(Ignored);
  Link_.reset();
}

void HttpGetClient::connect() {
  dropLink();
  Link_ = std::make_shared<Link>(Io_);
  IsReused_ = false;
  Connected_ = Question_.Server_;
  Link_->Socket_.async_connect(toTcp(Question_.Server_),
                               guarded(&HttpGetClient::onConnected));
}

void HttpGetClient::onConnected(const error_code &Error) {
  if (Error) {
    finish(std::nullopt);
    return;
  }
  error_code Ignored;
  Link_->Socket_.set_option(net::ip::tcp::no_delay(true), Ignored);
  write();
}

void HttpGetClient::write() {
  auto &Output = Link_->Output_;
  Output = {};
  Output.version(11);
  Output.method(http::verb::get);
  Output.target(Question_.Target_);
  Output.set(http::field::host, textOf(Question_.Server_));
  if (!Question_.UserAgent_.empty())
    Output.set(http::field::user_agent, Question_.UserAgent_);
  Output.keep_alive(Question_.IsKeptAlive_);
  Link_->Input_.clear();
  Link_->Parser_.reset();
  http::async_write(Link_->Socket_, Output, guarded(&HttpGetClient::onWritten));
}

void HttpGetClient::onWritten(const error_code &Error) {
  if (Error) {
    retryOrFail();
    return;
  }
  auto &Parser = Link_->Parser_.emplace();
  Parser.body_limit(Question_.BodyBytes_);
  http::async_read(Link_->Socket_, Link_->Input_, Parser,
                   guarded(&HttpGetClient::onRead));
}

void HttpGetClient::onRead(const error_code &Error) {
  if (Error) {
    retryOrFail();
    return;
  }
  finish(Link_->Parser_->release());
}

void HttpGetClient::retryOrFail() {
  const bool HasBegun = Link_->Parser_ && Link_->Parser_->got_some();
  if (IsReused_ && !HasBegun)
    connect();
  else
    finish(std::nullopt);
}

void HttpGetClient::finish(std::optional<Response> Given) {
  ++Turn_;
  Timer_.cancel();
  const bool IsKept = Given && Given->keep_alive() && Question_.IsKeptAlive_ &&
                      Link_->Input_.size() == 0;
  if (!IsKept)
    dropLink();
  const Handler OnAnswer = std::exchange(OnAnswer_, nullptr);
  OnAnswer(std::move(Given));
}

} // namespace cranberryspool::entry
