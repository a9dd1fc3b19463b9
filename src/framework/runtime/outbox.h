#ifndef CRANBERRYSPOOL_FRAMEWORK_RUNTIME_OUTBOX_H
#define CRANBERRYSPOOL_FRAMEWORK_RUNTIME_OUTBOX_H

#include "framework/runtime/mailbox.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace cranberryspool::framework {

/// Sends items that must not be lost to a mailbox: while the mailbox is full,
/// it keeps them in order and retries. It has no limit of its own; the number
/// of pending items is bounded by the work in progress at the sender. Used by a
/// single worker.
template <typename Item> class Outbox {
public:
  Outbox(boost::asio::io_context &Io, Mailbox<Item> &Destination)
      : Destination_(Destination), RetryTimer_(Io) {}

  void send(Item Value) {
    if (Pending_.empty() && Destination_.tryPush(Value))
      return;
    Pending_.push_back(std::move(Value));
    if (Pending_.size() == 1)
      scheduleRetry();
  }

  std::size_t pending() const { return Pending_.size(); }

private:
  static constexpr std::chrono::milliseconds RetryInterval{1};

  void scheduleRetry() {
    RetryTimer_.expires_after(RetryInterval);
    RetryTimer_.async_wait([this](const boost::system::error_code &Error) {
      if (!Error)
        flush();
    });
  }

  void flush() {
    while (!Pending_.empty() && Destination_.tryPush(Pending_.front()))
      Pending_.pop_front();
    if (!Pending_.empty())
      scheduleRetry();
  }

  Mailbox<Item> &Destination_;
  std::deque<Item> Pending_;
  boost::asio::steady_timer RetryTimer_;
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_RUNTIME_OUTBOX_H
