#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_OPERATORSERVER_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_OPERATORSERVER_H

#include "entry/entrysettings.h"
#include "entry/internal/instancestate.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace cranberryspool::entry {

/// The duty that serves the operator port: `/healthz` and `/readyz`.
class OperatorServer {
public:
  OperatorServer(boost::asio::io_context &Io,
                 boost::asio::ip::tcp::acceptor Acceptor,
                 InstanceState &Shared);

  InstanceState &shared() { return Shared_; }

private:
  void acceptNext();

  boost::asio::io_context &Io_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  InstanceState &Shared_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_OPERATORSERVER_H
