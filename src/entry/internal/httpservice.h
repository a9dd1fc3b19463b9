#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPSERVICE_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPSERVICE_H

#include "entry/types/servicerequest.h"
#include "entry/types/serviceresponse.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace cranberryspool::entry {

class HttpServiceSession;

/// An HTTP server for the endpoints of the instance itself, whose handler
/// returns the response synchronously. Runs on the thread of its I/O context.
class HttpService {
public:
  using Handler = std::function<ServiceResponse(const ServiceRequest &)>;

  HttpService(boost::asio::io_context &Io,
              boost::asio::ip::tcp::acceptor Acceptor, std::size_t MaxBodyBytes,
              Handler OnRequest);
  ~HttpService();

  std::size_t maxBodyBytes() const { return MaxBodyBytes_; }
  ServiceResponse handle(const ServiceRequest &Request) const {
    return Handler_(Request);
  }

  void remove(std::uint64_t Session) { Sessions_.erase(Session); }

private:
  void acceptNext();
  void open(boost::asio::ip::tcp::socket Socket);
  /// Closes the session that has waited longest for the end of a request.
  void closeOldest();

  boost::asio::io_context &Io_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  const std::size_t MaxBodyBytes_;
  const Handler Handler_;
  std::uint64_t LastSession_ = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<HttpServiceSession>>
      Sessions_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_HTTPSERVICE_H
