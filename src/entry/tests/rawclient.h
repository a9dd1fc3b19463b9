#ifndef CRANBERRYSPOOL_ENTRY_TESTS_RAWCLIENT_H
#define CRANBERRYSPOOL_ENTRY_TESTS_RAWCLIENT_H

#include "entry/types/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace cranberryspool::entry {

/// A caller that sends raw bytes and receives raw responses.
class RawClient {
public:
  explicit RawClient(const Endpoint &Server);

  /// Sends all bytes; a connection closed by the server is not an error.
  void send(std::string_view Bytes);

  /// Receives one complete response, whose body length is its `Content-Length`.
  /// Returns the bytes received so far when the connection ends before that.
  std::string receiveResponse();

  /// Receives until the server closes the connection.
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
