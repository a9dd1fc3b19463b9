#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_OPERATORSESSION_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_OPERATORSESSION_H

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace cranberryspool::entry {

class OperatorServer;

/// One connection of an operator or a metrics collector.
class OperatorSession : public std::enable_shared_from_this<OperatorSession> {
public:
  OperatorSession(boost::asio::ip::tcp::socket Socket, OperatorServer &Server);

  void readNext();

private:
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  void onRead(const boost::system::error_code &Error);
  void onWritten(const boost::system::error_code &Error);

  boost::asio::ip::tcp::socket Socket_;
  OperatorServer &Server_;
  boost::asio::steady_timer Timer_;
  boost::beast::flat_buffer Input_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::empty_body>>
      Parser_;
  Response Output_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_OPERATORSESSION_H
