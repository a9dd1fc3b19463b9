#ifndef CRANBERRYSPOOL_CALLS_RETRYBUDGET_H
#define CRANBERRYSPOOL_CALLS_RETRYBUDGET_H

#include <cstdint>

namespace cranberryspool::calls {

/// A token bucket that bounds extra attempts to a fraction of the recent
/// successes (as in Finagle and gRPC). Not bound to time: without successes
/// there is nothing to spend.
class RetryBudget {
public:
  /// `EarnedPerThousand` tokens are earned by a thousand successes; no more
  /// than `Capacity` are kept, and `Initial` are there at the start.
  RetryBudget(std::uint32_t EarnedPerThousand, std::uint32_t Capacity,
              std::uint32_t Initial);

  void recordSuccess();
  /// Takes a token; returns false when there is none.
  bool tryTake();

private:
  std::uint32_t EarnedPerThousand_;
  std::uint64_t CapacityMilli_;
  std::uint64_t Milli_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_RETRYBUDGET_H
