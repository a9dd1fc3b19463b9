#ifndef CRANBERRYSPOOL_TRIAL_TYPES_TRIALSETTINGS_H
#define CRANBERRYSPOOL_TRIAL_TYPES_TRIALSETTINGS_H

#include "framework/time.h"

#include <cstdint>

namespace cranberryspool::trial {

/// How a document is tried.
struct TrialSettings {
  std::uint32_t Instances_ = 3;
  std::uint32_t TargetsPerGroup_ = 2;
  /// Mean time that a target works on a request.
  framework::Duration MeanServiceTime_ = std::chrono::milliseconds(5);
  /// Share of all slots that the offered load keeps busy.
  double Load_ = 0.2;
  /// How long load is offered.
  framework::Duration Length_ = std::chrono::seconds(4);
  /// The second number of the loopback addresses, 127.N.x.y.
  std::uint8_t Network_ = 80;
  std::uint64_t Seed_ = 1;
};

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_TYPES_TRIALSETTINGS_H
