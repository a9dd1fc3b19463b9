#ifndef CRANBERRYSPOOL_ENTRY_STORECLIENT_H
#define CRANBERRYSPOOL_ENTRY_STORECLIENT_H

#include "decision/event.h"
#include "decision/types/actions/readrecords.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace cranberryspool::entry {

/// Reads the platform's store for one instance. Lives on the duty that runs
/// the I/O context it was made with.
class StoreClient {
public:
  virtual ~StoreClient() = default;

  /// Starts a read or watch; its outcome is told in bounded time.
  virtual void read(const decision::ReadRecords &Order) = 0;
};

/// Tells the core the outcome of a read.
using StoreEventHandler = std::function<void(decision::Event)>;

using StoreFactory = std::function<std::unique_ptr<StoreClient>(
    boost::asio::io_context &Io, StoreEventHandler Tell)>;

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_STORECLIENT_H
