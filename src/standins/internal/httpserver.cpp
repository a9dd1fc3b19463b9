#include "standins/httpserver.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <sstream>
#include <utility>

namespace cranberryspool::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::uint64_t MaxBodyBytes = 8 * 1024 * 1024;

HttpRequest makeHttpRequest(const http::request<http::string_body> &Message) {
  HttpRequest Request;
  Request.Method_ = std::string(Message.method_string());
  Request.Target_ = std::string(Message.target());
  Request.Body_ = Message.body();
  for (const auto &Field : Message) {
    std::string Name(Field.name_string());
    boost::algorithm::to_lower(Name);
    Request.Headers_[Name] = std::string(Field.value());
  }
  return Request;
}

std::string serialize(const HttpResponse &Response) {
  http::response<http::string_body> Message;
  Message.version(11);
  Message.result(Response.Status_);
  for (const auto &[Name, Value] : Response.Headers_)
    Message.set(Name, Value);
  Message.body() = Response.Body_;
  Message.prepare_payload();
  std::ostringstream Stream;
  Stream << Message;
  return Stream.str();
}

} // namespace

/// An accepted connection. Reads a request, waits for its response, writes it
/// and reads the next request.
class HttpServer::Session : public std::enable_shared_from_this<Session> {
public:
  Session(HttpServer &Server, SessionId Id, asio::ip::tcp::socket Socket)
      : Server_(Server), Id_(Id), Socket_(std::move(Socket)),
        Timer_(Server.Context_) {}

  void start() {
    if (Server_.SetupTime_.count() == 0)
      return read();
    Timer_.expires_after(Server_.SetupTime_);
    Timer_.async_wait([Self = shared_from_this()](error_code Error) {
      if (!Error)
        Self->read();
    });
  }

  void respond(const HttpResponse &Response) {
    if (!IsPending_ || IsStalled_)
      return;
    IsPending_ = false;
    error_code Ignored;
    Socket_.cancel(Ignored);
    Output_ = serialize(Response);
    if (Response.IsTruncated_)
      Output_.resize(Output_.size() / 2);
    write(Response.IsTruncated_);
  }

  void stall() { IsStalled_ = true; }

  void close() {
    error_code Ignored;
    Timer_.cancel();
    Socket_.close(Ignored);
  }

private:
  void read() {
    Parser_.emplace();
    Parser_->body_limit(MaxBodyBytes);
    http::async_read(
        Socket_, Buffer_, *Parser_,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (Self->IsStalled_)
            return;
          if (Error)
            return Self->Server_.removeSession(Self->Id_, false);
          Self->IsPending_ = true;
          const HttpRequest Request = makeHttpRequest(Self->Parser_->get());
          Self->watchForDisconnect();
          Self->Server_.OnRequest_(Self->Id_, Request);
        });
  }

  // Clients do not pipeline requests, so a socket that becomes readable while a
  // request is pending has been closed by the client.
  void watchForDisconnect() {
    Socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [Self = shared_from_this()](error_code Error) {
                         if (Error || !Self->IsPending_ || Self->IsStalled_)
                           return;
                         Self->IsPending_ = false;
                         Self->Server_.removeSession(Self->Id_, true);
                       });
  }

  void write(bool IsLast) {
    asio::async_write(
        Socket_, asio::buffer(Output_),
        [Self = shared_from_this(), IsLast](error_code Error, std::size_t) {
          if (Error || IsLast)
            return Self->Server_.removeSession(Self->Id_, false);
          if (!Self->IsStalled_)
            Self->read();
        });
  }

  HttpServer &Server_;
  SessionId Id_;
  asio::ip::tcp::socket Socket_;
  asio::steady_timer Timer_;
  boost::beast::flat_buffer Buffer_;
  std::optional<http::request_parser<http::string_body>> Parser_;
  std::string Output_;
  bool IsPending_ = false;
  bool IsStalled_ = false;
};

HttpServer::HttpServer(asio::io_context &Context,
                       const asio::ip::tcp::endpoint &Address,
                       RequestHandler OnRequest, ClosedHandler OnClosed)
    : Context_(Context), Acceptor_(Context), OnRequest_(std::move(OnRequest)),
      OnClosed_(std::move(OnClosed)) {
  Acceptor_.open(Address.protocol());
  Acceptor_.set_option(asio::socket_base::reuse_address(true));
  Acceptor_.bind(Address);
  Acceptor_.listen();
  accept();
}

HttpServer::~HttpServer() { closeConnections(); }

void HttpServer::accept() {
  Acceptor_.async_accept(
      [this](error_code Error, asio::ip::tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error)
          addSession(std::move(Socket));
        accept();
      });
}

void HttpServer::addSession(asio::ip::tcp::socket Socket) {
  if (Sessions_.size() >= ConnectionLimit_) {
    ++RefusedCount_;
    return;
  }
  error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  const SessionId Id(++LastSession_);
  auto NewSession = std::make_shared<Session>(*this, Id, std::move(Socket));
  Sessions_[Id] = NewSession;
  MaxConnectionCount_ = std::max(MaxConnectionCount_, Sessions_.size());
  NewSession->start();
}

void HttpServer::removeSession(SessionId Id, bool WasPending) {
  const auto Position = Sessions_.find(Id);
  if (Position == Sessions_.end())
    return;
  Position->second->close();
  Sessions_.erase(Position);
  if (WasPending)
    OnClosed_(Id);
}

void HttpServer::respond(SessionId Id, const HttpResponse &Response) {
  const auto Position = Sessions_.find(Id);
  if (Position == Sessions_.end())
    return;
  const std::shared_ptr<Session> Connection = Position->second;
  Connection->respond(Response);
}

void HttpServer::stallConnections() {
  for (const auto &[Id, Connection] : Sessions_)
    Connection->stall();
}

void HttpServer::closeConnections() {
  auto ClosedSessions = std::move(Sessions_);
  Sessions_.clear();
  for (const auto &[Id, Connection] : ClosedSessions)
    Connection->close();
}

} // namespace cranberryspool::standins
