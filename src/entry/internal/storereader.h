#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_STOREREADER_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_STOREREADER_H

#include "entry/internal/workermailboxes.h"
#include "entry/storeclient.h"
#include "framework/runtime/outbox.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace cranberryspool::entry {

/// The worker that executes the core's reads of the platform's metadata store.
class StoreReader {
public:
  StoreReader(boost::asio::io_context &Io, const StoreFactory &Factory,
              WorkerMailboxes &Mailboxes);
  ~StoreReader();

private:
  WorkerMailboxes &Mailboxes_;
  framework::Outbox<DispatchInput> Dispatch_;
  std::unique_ptr<StoreClient> Store_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_STOREREADER_H
