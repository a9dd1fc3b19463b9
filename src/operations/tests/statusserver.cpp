#include "operations/tests/statusserver.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <memory>

namespace cranberryspool::operations {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

struct Connection {
  explicit Connection(Tcp::socket Socket) : Socket_(std::move(Socket)) {}

  Tcp::socket Socket_;
  asio::streambuf Input_;
};

} // namespace

StatusServer::StatusServer(std::string Response)
    : Response_(std::move(Response)),
      Acceptor_(Context_, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  accept();
  Worker_ = std::thread([this] { Context_.run(); });
}

StatusServer::~StatusServer() {
  Context_.stop();
  Worker_.join();
}

std::string StatusServer::makeOkResponse(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

std::string StatusServer::address() const {
  return "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
}

void StatusServer::accept() {
  Acceptor_.async_accept([this](boost::system::error_code Error,
                                Tcp::socket Socket) {
    if (Error)
      return;
    auto ClientConnection = std::make_shared<Connection>(std::move(Socket));
    asio::async_read_until(
        ClientConnection->Socket_, ClientConnection->Input_, "\r\n\r\n",
        [this, ClientConnection](boost::system::error_code, std::size_t) {
          if (Response_.empty()) {
            asio::async_read_until(
                ClientConnection->Socket_, ClientConnection->Input_, "never",
                [ClientConnection](boost::system::error_code, std::size_t) {});
            return;
          }
          boost::system::error_code Ignored;
          asio::write(ClientConnection->Socket_, asio::buffer(Response_),
                      Ignored);
        });
    accept();
  });
}

} // namespace cranberryspool::operations
