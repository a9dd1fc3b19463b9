#ifndef CRANBERRYSPOOL_FRAMEWORK_RUNTIME_BYTEBUDGET_H
#define CRANBERRYSPOOL_FRAMEWORK_RUNTIME_BYTEBUDGET_H

#include <atomic>
#include <cstddef>

namespace cranberryspool::framework {

/// Limits the total memory, in bytes, that all workers of a process hold for
/// message bodies. Thread-safe.
class ByteBudget {
public:
  explicit ByteBudget(std::size_t Limit) : Limit_(Limit) {}

  ByteBudget(const ByteBudget &) = delete;
  ByteBudget &operator=(const ByteBudget &) = delete;

  /// Reserves bytes. Returns false, and reserves none, when fewer than
  /// `KeptFree` bytes of the limit would be left.
  bool tryReserve(std::size_t Bytes, std::size_t KeptFree = 0) {
    const std::size_t PreviouslyUsed = Used_.fetch_add(Bytes);
    if (PreviouslyUsed + Bytes + KeptFree <= Limit_)
      return true;
    Used_.fetch_sub(Bytes);
    return false;
  }

  void release(std::size_t Bytes) { Used_.fetch_sub(Bytes); }

  std::size_t limit() const { return Limit_; }
  std::size_t used() const { return Used_.load(); }

private:
  const std::size_t Limit_;
  std::atomic<std::size_t> Used_{0};
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_RUNTIME_BYTEBUDGET_H
