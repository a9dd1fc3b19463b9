#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPSERVICESESSION_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPSERVICESESSION_H

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace cranberryspool::entry {

class HttpService;

/// One connection of an `HttpService`.
class HttpServiceSession
    : public std::enable_shared_from_this<HttpServiceSession> {
public:
  HttpServiceSession(boost::asio::ip::tcp::socket Socket, HttpService &Service);

  void readNext();

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  void onRead(const boost::system::error_code &Error);
  void onWritten(const boost::system::error_code &Error);

  boost::asio::ip::tcp::socket Socket_;
  HttpService &Service_;
  boost::asio::steady_timer Timer_;
  boost::beast::flat_buffer Input_;
  std::optional<Parser> Parser_;
  Response Output_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPSERVICESESSION_H
