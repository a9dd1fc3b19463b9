#ifndef CRANBERRYSPOOL_FLEET_TESTS_LINKFAULTS_H
#define CRANBERRYSPOOL_FLEET_TESTS_LINKFAULTS_H

#include "framework/time.h"

namespace cranberryspool::fleet {

/// The delay and fault rates of a simulated network link.
struct LinkFaults {
  framework::Duration Delay_ = std::chrono::milliseconds(1);
  double LossRate_ = 0;
  double DuplicationRate_ = 0;
  /// The share of datagrams that get an extra delay of up to `MaxExtraDelay_`.
  double DelayedRate_ = 0;
  framework::Duration MaxExtraDelay_ = std::chrono::seconds(3);
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TESTS_LINKFAULTS_H
