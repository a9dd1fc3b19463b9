#ifndef CRANBERRYSPOOL_OPERATIONS_TESTS_STATUSSERVER_H
#define CRANBERRYSPOOL_OPERATIONS_TESTS_STATUSSERVER_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <thread>

namespace cranberryspool::operations {

/// Simulates the operator port of an instance: sends the same bytes in response
/// to the request on each connection.
class StatusServer {
public:
  /// `Response` is the complete HTTP response; when it is empty, the server
  /// reads the request and sends nothing.
  explicit StatusServer(std::string Response);
  ~StatusServer();

  StatusServer(const StatusServer &) = delete;
  StatusServer &operator=(const StatusServer &) = delete;

  /// Returns an HTTP response with status 200 and the given body.
  static std::string makeOkResponse(const std::string &Body);

  std::string address() const;

private:
  void accept();

  std::string Response_;
  boost::asio::io_context Context_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::thread Worker_;
};

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TESTS_STATUSSERVER_H
