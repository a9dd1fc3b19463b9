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

/// A connection and its current request, if any.
class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(HttpClient &Client, std::string Address)
      : Client_(Client), Address_(std::move(Address)), Socket_(Client.Context_),
        Timer_(Client.Context_) {}

  /// Returns true when the peer has closed the idle connection.
  bool isClosedByPeer() {
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
    buildMessage(Request);
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
  void buildMessage(const HttpRequest &Request) {
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
            return Self->finish(Outcome::ConnectionClosed);
          Self->read();
        });
  }

  void read() {
    http::async_read(
        Socket_, Buffer_, *Parser_,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          Self->finish(Error ? Outcome::ConnectionClosed
                             : Outcome::ResponseReceived);
        });
  }

  void finish(Outcome Result) {
    if (!OnReply_)
      return;
    Timer_.cancel();
    Reply Received;
    Received.Outcome_ = Result;
    bool IsReusable = false;
    if (Result == Outcome::ResponseReceived) {
      const auto &Message = Parser_->get();
      Received.Status_ = Message.result_int();
      Received.Body_ = Message.body();
      for (const auto &Field : Message)
        Received.Headers_[boost::algorithm::to_lower_copy(
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
    OnReply(Received);
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
  auto &Idle = Idle_[Address];
  while (!Idle.empty() && Idle.back()->isClosedByPeer())
    Idle.pop_back();
  std::shared_ptr<Connection> Selected;
  if (Idle.empty()) {
    Selected = std::make_shared<Connection>(*this, Address);
  } else {
    Selected = std::move(Idle.back());
    Idle.pop_back();
  }
  Selected->start(Request, Timeout, std::move(OnReply));
}

void HttpClient::release(const std::string &Address,
                         std::shared_ptr<Connection> Idle) {
  Idle_[Address].push_back(std::move(Idle));
}

} // namespace cranberryspool::standins
