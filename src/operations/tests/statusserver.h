#ifndef CRANBERRYSPOOL_OPERATIONS_TESTS_STATUSSERVER_H
#define CRANBERRYSPOOL_OPERATIONS_TESTS_STATUSSERVER_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <thread>

namespace cranberryspool::operations {

/// An operator port that gives the same bytes to each connection.
class StatusServer {
public:
  /// `Answer` is the whole HTTP answer; when empty, connections stay silent.
  explicit StatusServer(std::string Answer);
  ~StatusServer();

  StatusServer(const StatusServer &) = delete;
  StatusServer &operator=(const StatusServer &) = delete;

  /// Returns the answer for a status text.
  static std::string answerOf(const std::string &Status);

  std::string address() const;

private:
  void accept();

  std::string Answer_;
  boost::asio::io_context Context_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::thread Worker_;
};

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TESTS_STATUSSERVER_H
