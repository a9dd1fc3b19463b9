#ifndef CRANBERRYSPOOL_ADMISSION_INTERNAL_CONCURRENCYLIMIT_H
#define CRANBERRYSPOOL_ADMISSION_INTERNAL_CONCURRENCYLIMIT_H

#include "admission/types/servicecapacity.h"
#include "document/types/urgency.h"
#include "framework/time.h"
#include "routing/types/serviceload.h"

#include <cstdint>
#include <optional>

namespace cranberryspool::admission {

/// An adaptive limit on the calls of one service that this instance has in
/// flight. It grows while the latency is as low as at low load, and decreases
/// when the latency rises or targets shed load (additive increase,
/// multiplicative decrease).
class ConcurrencyLimit {
public:
  void setCapacity(ServiceCapacity Capacity);

  /// Sets the share of the slots that replaces the adaptive limit; nothing
  /// restores that.
  void setShare(std::optional<std::uint32_t> Share) { Share_ = Share; }

  /// Records the latency of an answered call. `WasAtLimit` tells whether the
  /// limit was reached when the call ended.
  void recordAnswered(framework::Duration Elapsed, bool WasAtLimit,
                      routing::ServiceLoad Load, framework::Instant Now);

  /// Records an attempt that was shed or timed out.
  void recordOverload(framework::Instant Now);

  /// Returns the limit for calls of the urgency. The limit for urgent calls
  /// applies to all calls together; it is higher than that for ordinary calls,
  /// so that urgent ones can start when ordinary ones have reached theirs.
  std::uint32_t limit(document::Urgency Urgency) const;

  /// Returns the moving average of the latency; zero before the first response.
  framework::Duration averageLatency() const;

private:
  void decrease(double Factor, framework::Instant Now);

  std::optional<std::uint32_t> Share_;
  double Slots_ = 1;
  double MinLimit_ = 1;
  /// How much higher than `MinLimit_` the limit of urgent calls stays. It falls
  /// while targets reject calls although the limit is at its minimum: then
  /// urgent calls alone are too many.
  double UrgentMargin_ = 0;
  double MaxUrgentMargin_ = 0;
  double Limit_ = 0;
  double AverageMicros_ = 0;
  /// The average latency at low load. It follows a lower average at once and a
  /// higher one slowly.
  double BaselineMicros_ = 0;
  framework::Instant DecreasedAt_{};
};

} // namespace cranberryspool::admission

#endif // CRANBERRYSPOOL_ADMISSION_INTERNAL_CONCURRENCYLIMIT_H
