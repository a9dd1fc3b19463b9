#ifndef CRANBERRYSPOOL_FRAMEWORK_BOUNDEDQUEUE_H
#define CRANBERRYSPOOL_FRAMEWORK_BOUNDEDQUEUE_H

#include <boost/lockfree/queue.hpp>

#include <cstddef>
#include <memory>
#include <optional>

namespace cranberryspool::framework {

/// A lock-free FIFO queue of fixed capacity. Any number of threads may push and
/// pop concurrently; neither operation blocks.
template <typename Item> class BoundedQueue {
public:
  explicit BoundedQueue(std::size_t Capacity) : Queue_(Capacity) {}

  BoundedQueue(const BoundedQueue &) = delete;
  BoundedQueue &operator=(const BoundedQueue &) = delete;

  ~BoundedQueue() {
    while (tryPop())
      ;
  }

  /// Moves the item into the queue. When the queue is full, returns false and
  /// leaves the item unchanged.
  bool tryPush(Item &NewItem) {
    auto Owned = std::make_unique<Item>(std::move(NewItem));
    if (Queue_.bounded_push(Owned.get())) {
      Owned.release();
      return true;
    }
    NewItem = std::move(*Owned);
    return false;
  }

  /// Removes and returns the oldest item, or `nullopt` when the queue is empty.
  std::optional<Item> tryPop() {
    Item *Raw = nullptr;
    if (!Queue_.pop(Raw))
      return std::nullopt;
    std::unique_ptr<Item> Owned(Raw);
    return std::optional<Item>(std::move(*Owned));
  }

private:
  boost::lockfree::queue<Item *> Queue_;
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_BOUNDEDQUEUE_H
