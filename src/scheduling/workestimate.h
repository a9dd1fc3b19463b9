#ifndef CRANBERRYSPOOL_SCHEDULING_WORKESTIMATE_H
#define CRANBERRYSPOOL_SCHEDULING_WORKESTIMATE_H

#include "framework/time.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cranberryspool::scheduling {

/// The median run time of the calls of one kind, by stochastic approximation:
/// each sample moves it by a twentieth, whatever its size. Outliers and targets
/// that are slow for a while therefore shift it little as long as they run less
/// than half of the calls.
class WorkEstimate {
public:
  void record(framework::Duration Elapsed) {
    const framework::Duration Sample = std::clamp(Elapsed, MinWork, MaxWork);
    if (Median_ == framework::Duration::zero()) {
      Median_ = Sample;
      return;
    }
    const double Moved = static_cast<double>(Median_.count()) *
                         (Sample > Median_ ? 1 + Step : 1 / (1 + Step));
    const auto Rounded = framework::Duration(std::llround(Moved));
    // A step of less than a microsecond would leave a short time unchanged, and
    // a step beyond the sample would never settle.
    Median_ = Sample > Median_
                  ? std::min(std::max(Rounded, Median_ + MinWork), Sample)
                  : std::max(std::min(Rounded, Median_ - MinWork), Sample);
  }

  /// Returns the median; zero before the first sample.
  framework::Duration median() const { return Median_; }

private:
  static constexpr double Step = 0.05;
  static constexpr framework::Duration MinWork{1};
  static constexpr framework::Duration MaxWork = std::chrono::minutes(10);

  framework::Duration Median_{};
};

} // namespace cranberryspool::scheduling

#endif // CRANBERRYSPOOL_SCHEDULING_WORKESTIMATE_H
