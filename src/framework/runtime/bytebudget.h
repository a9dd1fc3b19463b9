#ifndef CRANBERRYSPOOL_FRAMEWORK_RUNTIME_BYTEBUDGET_H
#define CRANBERRYSPOOL_FRAMEWORK_RUNTIME_BYTEBUDGET_H

#include <atomic>
#include <cstddef>

namespace cranberryspool::framework {

/// Bounds the sum of bytes that all duties of a process hold for bodies.
class ByteBudget {
public:
  explicit ByteBudget(std::size_t Limit) : Limit_(Limit) {}

  ByteBudget(const ByteBudget &) = delete;
  ByteBudget &operator=(const ByteBudget &) = delete;

  /// Takes bytes out of the budget; returns false when they do not fit.
  bool tryTake(std::size_t Bytes) {
    const std::size_t Before = Used_.fetch_add(Bytes);
    if (Before + Bytes <= Limit_)
      return true;
    Used_.fetch_sub(Bytes);
    return false;
  }

  void giveBack(std::size_t Bytes) { Used_.fetch_sub(Bytes); }

  std::size_t used() const { return Used_.load(); }

private:
  const std::size_t Limit_;
  std::atomic<std::size_t> Used_{0};
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_RUNTIME_BYTEBUDGET_H
