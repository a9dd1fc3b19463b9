#ifndef CRANBERRYSPOOL_ROUTING_TYPES_RECENTANSWERS_H
#define CRANBERRYSPOOL_ROUTING_TYPES_RECENTANSWERS_H

#include "framework/time.h"

#include <cmath>

namespace cranberryspool::routing {

/// The number of a target's answers and the sum of their times, both with
/// exponential decay, so that a slow spell is forgotten soon after its end.
class RecentAnswers {
public:
  void record(framework::Duration Elapsed, framework::Instant Now) {
    const double Kept = decay(Now);
    Count_ = Count_ * Kept + 1;
    Micros_ = Micros_ * Kept + static_cast<double>(Elapsed.count());
    At_ = Now;
  }

  /// Takes the time that was spent on a request which ended unanswered.
  void recordUnanswered(framework::Duration Elapsed, framework::Instant Now) {
    record(Elapsed, Now);
    Count_ -= 1;
  }

  /// Returns how many times slower than `UsualMicros` the target works, as the
  /// ratio of the time spent on requests to the requests done. `PendingMicros`
  /// is the time spent so far on those that are not done. A few requests at the
  /// usual time are assumed besides, so that a single answer says little.
  double slowness(double PendingMicros, double UsualMicros,
                  framework::Instant Now) const {
    constexpr double AssumedAnswers = 3;
    const double Kept = decay(Now);
    const double Spent =
        Kept * Micros_ + PendingMicros + AssumedAnswers * UsualMicros;
    return Spent / ((Kept * Count_ + AssumedAnswers) * UsualMicros);
  }

private:
  double decay(framework::Instant Now) const {
    constexpr framework::Duration HalfLife = std::chrono::milliseconds(30);
    return std::exp2(-static_cast<double>((Now - At_).count()) /
                     static_cast<double>(HalfLife.count()));
  }

  double Count_ = 0;
  double Micros_ = 0;
  framework::Instant At_{};
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_RECENTANSWERS_H
