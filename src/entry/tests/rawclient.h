#ifndef CRANBERRYSPOOL_ENTRY_TESTS_RAWCLIENT_H
#define CRANBERRYSPOOL_ENTRY_TESTS_RAWCLIENT_H

#include "entry/types/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace cranberryspool::entry {

/// A caller that writes raw bytes and reads what comes back.
class RawClient {
public:
  explicit RawClient(const Endpoint &Server);

  /// Writes; a connection that the other end has closed is no error.
  void send(std::string_view Bytes);

  /// Reads one whole answer with a `Content-Length`; what came until the end
  /// when the connection ends before.
  std::string receiveAnswer();

  /// Reads until the other end closes.
  std::string receiveAll();

  void close();

private:
  bool receiveMore();

  boost::asio::io_context Io_;
  boost::asio::ip::tcp::socket Socket_;
  std::string Input_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TESTS_RAWCLIENT_H
