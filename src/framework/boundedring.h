#ifndef CRANBERRYSPOOL_FRAMEWORK_BOUNDEDRING_H
#define CRANBERRYSPOOL_FRAMEWORK_BOUNDEDRING_H

#include <boost/lockfree/queue.hpp>

#include <cstddef>
#include <memory>
#include <optional>

namespace cranberryspool::framework {

/// A queue of fixed capacity between the threads of two duties. Any number of
/// threads may push and pop; neither ever blocks.
template <typename Item> class BoundedRing {
public:
  explicit BoundedRing(std::size_t Capacity) : Queue_(Capacity) {}

  BoundedRing(const BoundedRing &) = delete;
  BoundedRing &operator=(const BoundedRing &) = delete;

  ~BoundedRing() {
    while (tryPop())
      ;
  }

  /// Moves the item into the ring. Returns false, and leaves the item as it
  /// was, when the ring is full.
  bool tryPush(Item &Value) {
    auto Holder = std::make_unique<Item>(std::move(Value));
    if (Queue_.bounded_push(Holder.get())) {
      Holder.release();
      return true;
    }
    Value = std::move(*Holder);
    return false;
  }

  /// Takes the oldest item, or nothing when the ring is empty.
  std::optional<Item> tryPop() {
    Item *Raw = nullptr;
    if (!Queue_.pop(Raw))
      return std::nullopt;
    std::unique_ptr<Item> Holder(Raw);
    return std::optional<Item>(std::move(*Holder));
  }

private:
  boost::lockfree::queue<Item *> Queue_;
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_BOUNDEDRING_H
