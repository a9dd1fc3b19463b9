#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPSERVICESESSION_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPSERVICESESSION_H

#include "entry/framinglimit.h"
#include "framework/time.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <optional>

namespace cranberryspool::entry {

class HttpService;

/// One connection of an `HttpService`.
class HttpServiceSession
    : public std::enable_shared_from_this<HttpServiceSession> {
public:
  HttpServiceSession(boost::asio::ip::tcp::socket Socket, std::uint64_t Number,
                     HttpService &Service);

  void readNext();
  void close();
  /// Returns since when the session waits for the end of a request.
  framework::Instant waitingSince() const { return WaitingSince_; }

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  void readSome();
  void onRead(const boost::system::error_code &Error);
  void respond();
  void onWritten(const boost::system::error_code &Error);

  boost::asio::ip::tcp::socket Socket_;
  const std::uint64_t Number_;
  HttpService &Service_;
  boost::asio::steady_timer Timer_;
  boost::beast::flat_buffer Input_;
  std::optional<Parser> Parser_;
  FramingLimit Framing_;
  framework::Instant WaitingSince_{};
  Response Output_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPSERVICESESSION_H
