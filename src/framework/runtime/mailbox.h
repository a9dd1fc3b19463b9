#ifndef CRANBERRYSPOOL_FRAMEWORK_RUNTIME_MAILBOX_H
#define CRANBERRYSPOOL_FRAMEWORK_RUNTIME_MAILBOX_H

#include "framework/boundedring.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <mutex>

namespace cranberryspool::framework {

/// A bounded ring that wakes the duty that reads it. Any thread may push; the
/// reader is woken only when it is not already due to look. It outlives the
/// duties at both ends, so that either can be restarted.
template <typename Item> class Mailbox {
public:
  using Handler = std::function<void(Item &)>;

  explicit Mailbox(std::size_t Capacity) : Ring_(Capacity) {}

  Mailbox(const Mailbox &) = delete;
  Mailbox &operator=(const Mailbox &) = delete;

  /// Hands an item over. Returns false, and leaves the item as it was, when
  /// the ring is full.
  bool tryPush(Item &Value) {
    if (!Ring_.tryPush(Value))
      return false;
    if (!IsReaderDue_.exchange(true))
      wake();
    return true;
  }

  /// Makes the duty that runs `Io` the reader. Called on its thread.
  void attach(boost::asio::io_context &Io, Handler OnItem) {
    const std::lock_guard Guard(ReaderLock_);
    Reader_ = &Io;
    OnItem_ = std::move(OnItem);
    IsReaderDue_.store(true);
    boost::asio::post(Io, [this] { drain(); });
  }

  /// Ends the reading; what is in the ring stays for the next reader.
  void detach() {
    const std::lock_guard Guard(ReaderLock_);
    Reader_ = nullptr;
    OnItem_ = nullptr;
  }

private:
  /// Items handled in a row before the reader's other work has its turn.
  static constexpr int ItemsPerTurn = 64;

  void wake() {
    const std::lock_guard Guard(ReaderLock_);
    if (Reader_)
      boost::asio::post(*Reader_, [this] { drain(); });
  }

  void drain() {
    // Cleared before the ring is read: a later push finds it clear and wakes.
    IsReaderDue_.exchange(false);
    for (int Handled = 0; Handled < ItemsPerTurn; ++Handled) {
      std::optional<Item> Next = Ring_.tryPop();
      if (!Next)
        return;
      OnItem_(*Next);
    }
    if (!IsReaderDue_.exchange(true))
      wake();
  }

  BoundedRing<Item> Ring_;
  std::atomic<bool> IsReaderDue_{false};
  std::mutex ReaderLock_;
  boost::asio::io_context *Reader_ = nullptr;
  Handler OnItem_;
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_RUNTIME_MAILBOX_H
