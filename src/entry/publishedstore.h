#ifndef CRANBERRYSPOOL_ENTRY_PUBLISHEDSTORE_H
#define CRANBERRYSPOOL_ENTRY_PUBLISHEDSTORE_H

#include "decision/event.h"
#include "decision/types/actions/readrecords.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace cranberryspool::entry {

/// Reads the platform's store for one instance. Lives on the duty that runs
/// the I/O context it was made with.
class PublishedStore {
public:
  virtual ~PublishedStore() = default;

  /// Starts a read or watch; its outcome is told in bounded time.
  virtual void read(const decision::ReadRecords &Order) = 0;
};

/// Tells the core the outcome of a read.
using StoreListener = std::function<void(decision::Event)>;

using StoreFactory = std::function<std::unique_ptr<PublishedStore>(
    boost::asio::io_context &Io, StoreListener Tell)>;

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_PUBLISHEDSTORE_H
