#ifndef CRANBERRYSPOOL_ROUTING_TYPES_RECENTLATENCY_H
#define CRANBERRYSPOOL_ROUTING_TYPES_RECENTLATENCY_H

#include "framework/time.h"

#include <cmath>

namespace cranberryspool::routing {

/// The number of a target's recent responses and the sum of their latencies,
/// both with exponential decay, so that a short slow period soon stops
/// counting.
class RecentLatency {
public:
  void record(framework::Duration Elapsed, framework::Instant Now) {
    const double Factor = decayFactor(Now);
    ResponseCount_ = ResponseCount_ * Factor + 1;
    TotalMicros_ = TotalMicros_ * Factor + static_cast<double>(Elapsed.count());
    UpdatedAt_ = Now;
  }

  /// Adds the time that was spent on a request which got no response.
  void recordUnanswered(framework::Duration Elapsed, framework::Instant Now) {
    record(Elapsed, Now);
    ResponseCount_ -= 1;
  }

  /// Returns the target's time per completed request, relative to
  /// `UsualMicros`. `PendingMicros` is the time spent so far on requests that
  /// are still in flight. A few requests with the usual latency are added to
  /// both sums, so that a single response changes the ratio only a little.
  double relativeLatency(double PendingMicros, double UsualMicros,
                         framework::Instant Now) const {
    constexpr double AssumedResponses = 3;
    const double Factor = decayFactor(Now);
    const double TotalMicros =
        Factor * TotalMicros_ + PendingMicros + AssumedResponses * UsualMicros;
    return TotalMicros /
           ((Factor * ResponseCount_ + AssumedResponses) * UsualMicros);
  }

private:
  double decayFactor(framework::Instant Now) const {
    constexpr framework::Duration HalfLife = std::chrono::milliseconds(30);
    return std::exp2(-static_cast<double>((Now - UpdatedAt_).count()) /
                     static_cast<double>(HalfLife.count()));
  }

  double ResponseCount_ = 0;
  double TotalMicros_ = 0;
  framework::Instant UpdatedAt_{};
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_RECENTLATENCY_H
