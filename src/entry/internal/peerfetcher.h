#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PEERFETCHER_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PEERFETCHER_H

#include "entry/entrysettings.h"
#include "entry/internal/instancestate.h"
#include "entry/internal/mailboxes.h"
#include "framework/runtime/outbox.h"

#include <boost/asio/io_context.hpp>

namespace cranberryspool::entry {

/// A duty that fetches from peers by JSON-RPC, one thing at a time; it blocks
/// meanwhile, which is why it is a duty of its own for each kind.
template <typename Order> class PeerFetcher {
public:
  PeerFetcher(boost::asio::io_context &Io, const EntrySettings &Settings,
              framework::Mailbox<Order> &Orders, Mailboxes &Rings,
              InstanceState &Shared);
  ~PeerFetcher();

private:
  void fetch(const Order &Wanted);
  std::string call(const std::string &PeerAddress, const std::string &Method,
                   const std::string &Parameters) const;

  const EntrySettings Settings_;
  framework::Mailbox<Order> &Orders_;
  InstanceState &Shared_;
  framework::Outbox<DispatchInput> Dispatch_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PEERFETCHER_H
