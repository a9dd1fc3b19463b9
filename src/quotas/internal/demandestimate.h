#ifndef CRANBERRYSPOOL_QUOTAS_INTERNAL_DEMANDESTIMATE_H
#define CRANBERRYSPOOL_QUOTAS_INTERNAL_DEMANDESTIMATE_H

#include "framework/time.h"

#include <chrono>
#include <cmath>

namespace cranberryspool::quotas {

/// An exponentially weighted rate over the last few hundred milliseconds.
class DemandEstimate {
public:
  void record(double Count, framework::Instant Now) {
    PerSecond_ = perSecond(Now) + Count / MeanSeconds;
    RecordedAt_ = Now;
  }

  double perSecond(framework::Instant Now) const {
    const std::chrono::duration<double> Elapsed = Now - RecordedAt_;
    return PerSecond_ * std::exp(-Elapsed.count() / MeanSeconds);
  }

private:
  static constexpr double MeanSeconds = 0.2;

  double PerSecond_ = 0;
  framework::Instant RecordedAt_{};
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_INTERNAL_DEMANDESTIMATE_H
