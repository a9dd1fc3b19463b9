#ifndef CRANBERRYSPOOL_FRAMEWORK_RUNTIME_OUTBOX_H
#define CRANBERRYSPOOL_FRAMEWORK_RUNTIME_OUTBOX_H

#include "framework/runtime/mailbox.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace cranberryspool::framework {

/// The sending end of a mailbox for items that must not be lost: while the ring
/// is full they wait here in order. What waits is bounded by the work that the
/// sender has in hand. Belongs to one duty.
template <typename Item> class Outbox {
public:
  Outbox(boost::asio::io_context &Io, Mailbox<Item> &Destination)
      : Destination_(Destination), RetryTimer_(Io) {}

  void send(Item Value) {
    if (Waiting_.empty() && Destination_.tryPush(Value))
      return;
    Waiting_.push_back(std::move(Value));
    if (Waiting_.size() == 1)
      retryLater();
  }

  std::size_t pending() const { return Waiting_.size(); }

private:
  static constexpr std::chrono::milliseconds RetryInterval{1};

  void retryLater() {
    RetryTimer_.expires_after(RetryInterval);
    RetryTimer_.async_wait([this](const boost::system::error_code &Error) {
      if (!Error)
        flush();
    });
  }

  void flush() {
    while (!Waiting_.empty() && Destination_.tryPush(Waiting_.front()))
      Waiting_.pop_front();
    if (!Waiting_.empty())
      retryLater();
  }

  Mailbox<Item> &Destination_;
  std::deque<Item> Waiting_;
  boost::asio::steady_timer RetryTimer_;
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_RUNTIME_OUTBOX_H
