#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPSERVICE_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPSERVICE_H

#include "entry/types/serviceanswer.h"
#include "entry/types/servicequestion.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace cranberryspool::entry {

/// A small HTTP server for an instance's own pages and methods, whose answers
/// are ready at once. Runs on the thread of its I/O context.
class HttpService {
public:
  using Handler = std::function<ServiceAnswer(const ServiceQuestion &)>;

  HttpService(boost::asio::io_context &Io,
              boost::asio::ip::tcp::acceptor Acceptor, std::size_t BodyBytes,
              Handler Answer);

  std::size_t bodyBytes() const { return BodyBytes_; }
  ServiceAnswer answer(const ServiceQuestion &Question) const {
    return Answer_(Question);
  }

private:
  void acceptNext();

  boost::asio::io_context &Io_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  const std::size_t BodyBytes_;
  const Handler Answer_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPSERVICE_H
