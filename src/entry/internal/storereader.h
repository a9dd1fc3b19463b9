#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_STOREREADER_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_STOREREADER_H

#include "entry/internal/mailboxes.h"
#include "entry/storeclient.h"
#include "framework/runtime/outbox.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace cranberryspool::entry {

/// The duty that reads the platform's store as the core orders it.
class StoreReader {
public:
  StoreReader(boost::asio::io_context &Io, const StoreFactory &Make,
              Mailboxes &Rings);
  ~StoreReader();

private:
  Mailboxes &Rings_;
  framework::Outbox<DispatchInput> Dispatch_;
  std::unique_ptr<StoreClient> Store_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_STOREREADER_H
