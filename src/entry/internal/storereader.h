#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_STOREREADER_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_STOREREADER_H

#include "entry/internal/unansweredreads.h"
#include "entry/internal/workermailboxes.h"
#include "entry/storeclient.h"
#include "framework/runtime/outbox.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace cranberryspool::entry {

/// The worker that executes the core's reads of the platform's metadata store.
/// Reports the reads that an earlier worker has left without an outcome as
/// failed.
class StoreReader {
public:
  StoreReader(boost::asio::io_context &Io, const StoreFactory &Factory,
              WorkerMailboxes &Mailboxes, UnansweredReads &Reads);
  ~StoreReader();

private:
  void read(const decision::ReadRecords &Command);
  void report(decision::Event Outcome);

  WorkerMailboxes &Mailboxes_;
  UnansweredReads &Reads_;
  framework::Outbox<DispatchInput> Dispatch_;
  std::unique_ptr<StoreClient> Store_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_STOREREADER_H
