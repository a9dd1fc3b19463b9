#ifndef CRANBERRYSPOOL_FRAMEWORK_RUNTIME_BYTERESERVATION_H
#define CRANBERRYSPOOL_FRAMEWORK_RUNTIME_BYTERESERVATION_H

#include "framework/runtime/bytebudget.h"

#include <utility>

namespace cranberryspool::framework {

/// Owns bytes reserved from a `ByteBudget` and releases them on destruction.
class ByteReservation {
public:
  ByteReservation() = default;

  ByteReservation(ByteReservation &&Other) noexcept
      : Budget_(std::exchange(Other.Budget_, nullptr)),
        Bytes_(std::exchange(Other.Bytes_, 0)) {}

  ByteReservation &operator=(ByteReservation &&Other) noexcept {
    std::swap(Budget_, Other.Budget_);
    std::swap(Bytes_, Other.Bytes_);
    return *this;
  }

  ~ByteReservation() {
    if (Budget_)
      Budget_->release(Bytes_);
  }

  /// Releases the bytes held so far and reserves the given number. Returns
  /// false, and holds none, when the budget would be exceeded.
  bool tryReserve(ByteBudget &Budget, std::size_t Bytes) {
    *this = ByteReservation();
    if (!Budget.tryReserve(Bytes))
      return false;
    Budget_ = &Budget;
    Bytes_ = Bytes;
    return true;
  }

  /// Reserves more bytes until the given number is held. Returns false, and
  /// holds what it held before, when fewer than `KeptFree` bytes of the budget
  /// would be left.
  bool tryGrow(ByteBudget &Budget, std::size_t Bytes,
               std::size_t KeptFree = 0) {
    if (Bytes <= Bytes_)
      return true;
    if (!Budget.tryReserve(Bytes - Bytes_, KeptFree))
      return false;
    Budget_ = &Budget;
    Bytes_ = Bytes;
    return true;
  }

  /// Releases all but the given number of bytes.
  void shrink(std::size_t Bytes) {
    if (!Budget_ || Bytes >= Bytes_)
      return;
    Budget_->release(Bytes_ - Bytes);
    Bytes_ = Bytes;
  }

  std::size_t bytes() const { return Bytes_; }

private:
  ByteBudget *Budget_ = nullptr;
  std::size_t Bytes_ = 0;
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_RUNTIME_BYTERESERVATION_H
