#include "standins/httpclient.h"

#include "standins/address.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <utility>

namespace cranberryspool::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// One connection and the request that is on it.
class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(HttpClient &Client, std::string Address)
      : Client_(Client), Address_(std::move(Address)), Socket_(Client.Context_),
        Timer_(Client.Context_) {}

  /// Returns true when the other end has closed the idle connection.
  bool isStale() {
    error_code Error;
    Socket_.non_blocking(true, Error);
    char Byte = 0;
    Socket_.receive(asio::buffer(&Byte, 1), asio::ip::tcp::socket::message_peek,
                    Error);
    return Error != asio::error::would_block;
  }

  void start(const HttpRequest &Request, framework::Duration Timeout,
             ReplyHandler OnReply) {
    OnReply_ = std::move(OnReply);
    fill(Request);
    Timer_.expires_after(Timeout);
    Timer_.async_wait([Self = shared_from_this()](error_code Error) {
      if (!Error)
        Self->finish(Outcome::TimedOut);
    });
    if (IsConnected_)
      return write();
    Socket_.async_connect(parseAddress(Address_),
                          [Self = shared_from_this()](error_code Error) {
                            Self->handleConnected(Error);
                          });
  }

private:
  void fill(const HttpRequest &Request) {
    Message_ = {};
    Message_.version(11);
    Message_.method_string(Request.Method_);
    Message_.target(Request.Target_);
    Message_.set(http::field::host, Address_);
    for (const auto &[Name, Value] : Request.Headers_)
      Message_.set(Name, Value);
    Message_.body() = Request.Body_;
    Message_.prepare_payload();
  }

  void handleConnected(error_code Error) {
    if (!OnReply_)
      return;
    if (Error)
      return finish(Outcome::ConnectFailed);
    Socket_.set_option(asio::ip::tcp::no_delay(true), Error);
    IsConnected_ = true;
    write();
  }

  void write() {
    Parser_.emplace();
    Parser_->body_limit(boost::none);
    http::async_write(
        Socket_, Message_,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (Error)
            return Self->finish(Outcome::Cut);
          Self->read();
        });
  }

  void read() {
    http::async_read(
        Socket_, Buffer_, *Parser_,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          Self->finish(Error ? Outcome::Cut : Outcome::Answered);
        });
  }

  void finish(Outcome Result) {
    if (!OnReply_)
      return;
    Timer_.cancel();
    Reply Given;
    Given.Outcome_ = Result;
    bool IsReusable = false;
    if (Result == Outcome::Answered) {
      const auto &Message = Parser_->get();
      Given.Status_ = Message.result_int();
      Given.Body_ = Message.body();
      for (const auto &Field : Message)
        Given.Headers_[boost::algorithm::to_lower_copy(
            std::string(Field.name_string()))] = std::string(Field.value());
      IsReusable = Message.keep_alive();
    }
    const ReplyHandler OnReply = std::exchange(OnReply_, nullptr);
    if (IsReusable) {
      Client_.release(Address_, shared_from_this());
    } else {
      error_code Ignored;
      Socket_.close(Ignored);
    }
    OnReply(Given);
  }

  HttpClient &Client_;
  std::string Address_;
  asio::ip::tcp::socket Socket_;
  asio::steady_timer Timer_;
  boost::beast::flat_buffer Buffer_;
  http::request<http::string_body> Message_;
  std::optional<http::response_parser<http::string_body>> Parser_;
  ReplyHandler OnReply_;
  bool IsConnected_ = false;
};

void HttpClient::send(const std::string &Address, HttpRequest Request,
                      framework::Duration Timeout, ReplyHandler OnReply) {
  auto &Free = Idle_[Address];
  while (!Free.empty() && Free.back()->isStale())
    Free.pop_back();
  std::shared_ptr<Connection> Chosen;
  if (Free.empty()) {
    Chosen = std::make_shared<Connection>(*this, Address);
  } else {
    Chosen = std::move(Free.back());
    Free.pop_back();
  }
  Chosen->start(Request, Timeout, std::move(OnReply));
}

void HttpClient::release(const std::string &Address,
                         std::shared_ptr<Connection> Free) {
  Idle_[Address].push_back(std::move(Free));
}

} // namespace cranberryspool::standins
