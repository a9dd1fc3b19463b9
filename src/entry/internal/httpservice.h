#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPSERVICE_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPSERVICE_H

#include "entry/types/servicerequest.h"
#include "entry/types/serviceresponse.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace cranberryspool::entry {

/// An HTTP server for the endpoints of the instance itself, whose handler
/// returns the response synchronously. Runs on the thread of its I/O context.
class HttpService {
public:
  using Handler = std::function<ServiceResponse(const ServiceRequest &)>;

  HttpService(boost::asio::io_context &Io,
              boost::asio::ip::tcp::acceptor Acceptor, std::size_t MaxBodyBytes,
              Handler OnRequest);

  std::size_t maxBodyBytes() const { return MaxBodyBytes_; }
  ServiceResponse handle(const ServiceRequest &Request) const {
    return Handler_(Request);
  }

private:
  void acceptNext();

  boost::asio::io_context &Io_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  const std::size_t MaxBodyBytes_;
  const Handler Handler_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPSERVICE_H
