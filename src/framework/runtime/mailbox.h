#ifndef CRANBERRYSPOOL_FRAMEWORK_RUNTIME_MAILBOX_H
#define CRANBERRYSPOOL_FRAMEWORK_RUNTIME_MAILBOX_H

#include "framework/boundedqueue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <mutex>

namespace cranberryspool::framework {

/// A bounded queue that notifies the worker that reads it. Any thread may push;
/// the reader is notified only when no drain of the queue is scheduled yet. A
/// mailbox outlives the workers that write and read it, so that either can be
/// restarted.
template <typename Item> class Mailbox {
public:
  using Handler = std::function<void(Item &)>;

  explicit Mailbox(std::size_t Capacity) : Queue_(Capacity) {}

  Mailbox(const Mailbox &) = delete;
  Mailbox &operator=(const Mailbox &) = delete;

  /// Moves the item into the queue. When the queue is full, returns false and
  /// leaves the item unchanged.
  bool tryPush(Item &NewItem) {
    if (!Queue_.tryPush(NewItem))
      return false;
    if (!IsDrainScheduled_.exchange(true))
      scheduleDrain();
    return true;
  }

  /// Makes the worker that runs `Io` the reader. Must be called on the thread
  /// of that worker.
  void attach(boost::asio::io_context &Io, Handler OnItem) {
    const std::lock_guard Guard(ReaderLock_);
    Reader_ = &Io;
    OnItem_ = std::move(OnItem);
    IsDrainScheduled_.store(true);
    boost::asio::post(Io, [this] { drain(); });
  }

  /// Detaches the reader. Queued items remain for the next reader.
  void detach() {
    const std::lock_guard Guard(ReaderLock_);
    Reader_ = nullptr;
    OnItem_ = nullptr;
  }

private:
  /// Items handled in one drain before the reader's other handlers get to run.
  static constexpr int MaxItemsPerDrain = 64;

  void scheduleDrain() {
    const std::lock_guard Guard(ReaderLock_);
    if (Reader_)
      boost::asio::post(*Reader_, [this] { drain(); });
  }

  void drain() {
    // Cleared before the queue is read, so that a push during or after the
    // drain schedules another one.
    IsDrainScheduled_.exchange(false);
    for (int HandledItems = 0; HandledItems < MaxItemsPerDrain;
         ++HandledItems) {
      std::optional<Item> Next = Queue_.tryPop();
      if (!Next)
        return;
      OnItem_(*Next);
    }
    if (!IsDrainScheduled_.exchange(true))
      scheduleDrain();
  }

  BoundedQueue<Item> Queue_;
  std::atomic<bool> IsDrainScheduled_{false};
  std::mutex ReaderLock_;
  boost::asio::io_context *Reader_ = nullptr;
  Handler OnItem_;
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_RUNTIME_MAILBOX_H
