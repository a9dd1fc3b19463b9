#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PLATFORMREAD_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PLATFORMREAD_H

#include "entry/types/platformcommand.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace cranberryspool::entry {

class PlatformReader;

/// One read or watch of the platform.
class PlatformRead : public std::enable_shared_from_this<PlatformRead> {
public:
  PlatformRead(const PlatformCommand &Order, PlatformReader &Reader);

  void start();

private:
  void onConnected(const boost::system::error_code &Error);
  void onWritten(const boost::system::error_code &Error);
  void onRead(const boost::system::error_code &Error);
  void tellUnchanged();
  void tellPublished();
  void fail();
  void finish();
  bool isDocument() const;
  std::optional<framework::Revision> newerThan() const;
  framework::Duration wait() const;
  std::string question() const;

  const PlatformCommand Order_;
  PlatformReader &Reader_;
  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer Timer_;
  bool IsDone_ = false;
  boost::beast::flat_buffer Input_;
  boost::beast::http::request<boost::beast::http::empty_body> Question_;
  boost::beast::http::response_parser<boost::beast::http::string_body> Answer_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PLATFORMREAD_H
