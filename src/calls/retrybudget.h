#ifndef CRANBERRYSPOOL_CALLS_RETRYBUDGET_H
#define CRANBERRYSPOOL_CALLS_RETRYBUDGET_H

#include <cstdint>

namespace cranberryspool::calls {

/// A token bucket that limits extra attempts to a fraction of the recent
/// successes (as in Finagle and gRPC). Tokens are earned by successes only, not
/// over time.
class RetryBudget {
public:
  /// A thousand successes earn `EarnedPerThousand` tokens. The bucket holds at
  /// most `Capacity` tokens and `Initial` at the start.
  RetryBudget(std::uint32_t EarnedPerThousand, std::uint32_t Capacity,
              std::uint32_t Initial);

  void recordSuccess();
  /// Takes a token. Returns false when there is none.
  bool tryTake();

private:
  std::uint32_t EarnedPerThousand_;
  std::uint64_t CapacityMilliTokens_;
  std::uint64_t MilliTokens_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_RETRYBUDGET_H
