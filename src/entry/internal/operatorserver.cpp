#include "entry/internal/operatorserver.h"

#include "entry/internal/operatorsession.h"

namespace cranberryspool::entry {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;

OperatorServer::OperatorServer(net::io_context &Io, tcp::acceptor Acceptor,
                               InstanceState &Shared)
    : Io_(Io), Acceptor_(std::move(Acceptor)), Shared_(Shared) {
  acceptNext();
}

void OperatorServer::acceptNext() {
  Acceptor_.async_accept(Io_, [this](const error_code &Error,
                                     tcp::socket Socket) {
    if (Error == net::error::operation_aborted)
      return;
    if (!Error)
      std::make_shared<OperatorSession>(std::move(Socket), *this)->readNext();
    acceptNext();
  });
}

} // namespace cranberryspool::entry
