#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PEERFETCHER_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PEERFETCHER_H

#include "entry/entrysettings.h"
#include "entry/internal/instancestate.h"
#include "entry/internal/workermailboxes.h"
#include "framework/runtime/outbox.h"

#include <boost/asio/io_context.hpp>

namespace cranberryspool::entry {

/// A worker that fetches from peers by JSON-RPC, one request at a time. It
/// blocks during a request, hence each kind of command has a worker of its own.
template <typename CommandType> class PeerFetcher {
public:
  PeerFetcher(boost::asio::io_context &Io, const EntrySettings &Settings,
              framework::Mailbox<CommandType> &Commands,
              WorkerMailboxes &Mailboxes, InstanceState &State);
  ~PeerFetcher();

private:
  void fetch(const CommandType &Command);
  std::string call(const std::string &PeerAddress, const std::string &Method,
                   const std::string &Parameters) const;

  const EntrySettings Settings_;
  framework::Mailbox<CommandType> &Commands_;
  InstanceState &State_;
  framework::Outbox<DispatchInput> Dispatch_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PEERFETCHER_H
