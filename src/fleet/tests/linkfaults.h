#ifndef CRANBERRYSPOOL_FLEET_TESTS_LINKFAULTS_H
#define CRANBERRYSPOOL_FLEET_TESTS_LINKFAULTS_H

#include "framework/time.h"

namespace cranberryspool::fleet {

/// How a link treats datagrams.
struct LinkFaults {
  framework::Duration Delay_ = std::chrono::milliseconds(1);
  double Loss_ = 0;
  double Duplication_ = 0;
  /// The share of datagrams that come up to `LongDelay_` late.
  double Lateness_ = 0;
  framework::Duration LongDelay_ = std::chrono::seconds(3);
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TESTS_LINKFAULTS_H
