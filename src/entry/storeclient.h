#ifndef CRANBERRYSPOOL_ENTRY_STORECLIENT_H
#define CRANBERRYSPOOL_ENTRY_STORECLIENT_H

#include "decision/event.h"
#include "decision/types/actions/readrecords.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace cranberryspool::entry {

/// Reads the platform's metadata store for one instance. Used only on the
/// worker that runs the I/O context passed to its factory.
class StoreClient {
public:
  virtual ~StoreClient() = default;

  /// Starts a read or a watch. The outcome is reported to the event handler in
  /// bounded time.
  virtual void read(const decision::ReadRecords &Command) = 0;
};

/// Receives the outcome of a read as an event for the core.
using StoreEventHandler = std::function<void(decision::Event)>;

using StoreFactory = std::function<std::unique_ptr<StoreClient>(
    boost::asio::io_context &Io, StoreEventHandler OnEvent)>;

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_STORECLIENT_H
