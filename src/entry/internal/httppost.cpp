#include "entry/internal/httppost.h"

#include "entry/framinglimit.h"
#include "entry/internal/inputlimits.h"
#include "entry/internal/listen.h"
#include "entry/internal/readpart.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace cranberryspool::entry {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using net::ip::tcp;

namespace {

/// One POST request with its response, run on the I/O context passed in.
class PostOperation {
public:
  PostOperation(net::io_context &Io, const PostRequest &Request,
                const std::string &Body)
      : Request_(Request), Socket_(Io), Input_(MaxOwnInputBytes) {
    Message_.version(11);
    Message_.method(http::verb::post);
    Message_.target(Request.Path_);
    Message_.set(http::field::host, Request.Destination_.Address_);
    Message_.set(http::field::content_type, "application/json");
    Message_.keep_alive(false);
    Message_.body() = Body;
    Message_.prepare_payload();
    Response_.header_limit(MaxOwnHeadBytes);
    Response_.body_limit(Request.MaxResponseBytes_);
    Response_.eager(true);
  }

  void start() {
    error_code Error;
    Socket_.open(tcp::v4(), Error);
    if (!Error)
      Socket_.bind(toTcp({Request_.Source_, 0}), Error);
    if (Error)
      return;
    Socket_.async_connect(toTcp(Request_.Destination_),
                          [this](const error_code &ConnectError) {
                            if (!ConnectError)
                              write();
                          });
  }

  std::optional<std::string> takeResponseBody() {
    if (!IsComplete_ || Response_.get().result() != http::status::ok)
      return std::nullopt;
    return std::move(Response_.get().body());
  }

private:
  void write() {
    error_code Ignored;
    Socket_.set_option(tcp::no_delay(true), Ignored);
    http::async_write(Socket_, Message_,
                      [this](const error_code &Error, std::size_t) {
                        if (!Error)
                          read();
                      });
  }

  void read() {
    readPart(Socket_, Input_, Response_, Framing_,
             [this](const error_code &Error) { onRead(Error); });
  }

  void onRead(const error_code &Error) {
    if (Error)
      return;
    IsComplete_ = Response_.is_done();
    if (!IsComplete_)
      read();
  }

  const PostRequest &Request_;
  tcp::socket Socket_;
  http::request<http::string_body> Message_;
  boost::beast::flat_buffer Input_;
  http::response_parser<http::string_body> Response_;
  FramingLimit Framing_{2 * MaxOwnHeadBytes};
  bool IsComplete_ = false;
};

} // namespace

std::optional<std::string> postAndWait(const PostRequest &Request,
                                       const std::string &Body) {
  net::io_context Io(1);
  PostOperation Operation(Io, Request, Body);
  Operation.start();
  Io.run_for(Request.Timeout_);
  return Operation.takeResponseBody();
}

} // namespace cranberryspool::entry
