#ifndef CRANBERRYSPOOL_DECISION_CORESETTINGS_H
#define CRANBERRYSPOOL_DECISION_CORESETTINGS_H

#include "framework/ids.h"
#include "framework/time.h"

namespace cranberryspool::decision {

/// What an instance knows of itself before it has heard from anybody.
struct CoreSettings {
  framework::InstanceName Self_;
  framework::Incarnation Incarnation_;
  framework::ZoneName Zone_;
  /// How long a stopping instance goes on accepting calls, so that the
  /// platform's balancer can notice that it is not ready any more.
  framework::Duration StopLinger_ = std::chrono::seconds(3);
  /// A longer time between two events means that the process was paused.
  framework::Duration MaxEventGap_ = std::chrono::milliseconds(500);
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_CORESETTINGS_H
