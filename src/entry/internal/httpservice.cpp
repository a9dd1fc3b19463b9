#include "entry/internal/httpservice.h"

#include "entry/internal/httpservicesession.h"

namespace cranberryspool::entry {

namespace net = boost::asio;
using net::ip::tcp;

HttpService::HttpService(net::io_context &Io, tcp::acceptor Acceptor,
                         std::size_t MaxBodyBytes, Handler OnRequest)
    : Io_(Io), Acceptor_(std::move(Acceptor)), MaxBodyBytes_(MaxBodyBytes),
      Handler_(std::move(OnRequest)) {
  acceptNext();
}

void HttpService::acceptNext() {
  Acceptor_.async_accept(
      Io_, [this](const boost::system::error_code &Error, tcp::socket Socket) {
        if (Error == net::error::operation_aborted)
          return;
        if (!Error)
          std::make_shared<HttpServiceSession>(std::move(Socket), *this)
              ->readNext();
        acceptNext();
      });
}

} // namespace cranberryspool::entry
