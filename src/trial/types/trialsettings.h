#ifndef CRANBERRYSPOOL_TRIAL_TYPES_TRIALSETTINGS_H
#define CRANBERRYSPOOL_TRIAL_TYPES_TRIALSETTINGS_H

#include "framework/time.h"

#include <cstdint>

namespace cranberryspool::trial {

/// The settings of a trial of a document.
struct TrialSettings {
  /// The number of entry instances.
  std::uint32_t Instances_ = 3;
  std::uint32_t TargetsPerGroup_ = 2;
  /// The mean time that a target takes to process a request.
  framework::Duration MeanServiceTime_ = std::chrono::milliseconds(5);
  /// The share of all target slots that the offered load occupies on average.
  double Utilization_ = 0.2;
  /// The time for which load is offered.
  framework::Duration LoadDuration_ = std::chrono::seconds(4);
  /// The second octet of the loopback addresses, 127.N.x.y.
  std::uint8_t Network_ = 80;
  /// The seed of the callers and of the stand-ins.
  std::uint64_t Seed_ = 1;
};

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_TYPES_TRIALSETTINGS_H
