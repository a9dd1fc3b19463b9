#ifndef CRANBERRYSPOOL_DECISION_CORESTATUS_H
#define CRANBERRYSPOOL_DECISION_CORESTATUS_H

#include "decision/types/peerstatus.h"
#include "decision/types/queuestatus.h"
#include "decision/types/targetstatus.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstddef>
#include <vector>

namespace cranberryspool::decision {

/// The status of an instance.
struct CoreStatus {
  framework::Revision DocumentRevision_;
  framework::Digest DocumentDigest_;
  framework::Revision ListRevision_;
  /// The time since the platform's metadata store last answered; zero if a list
  /// is published instead.
  framework::Duration ViewAge_{};
  /// The maximum number of instances that may be running, including this one.
  std::size_t FleetSize_ = 0;
  bool IsReady_ = false;
  bool IsStopping_ = false;
  /// True while new attempts may be sent to targets.
  bool IsViewFresh_ = false;
  /// The number of accepted calls that have not ended.
  std::size_t Calls_ = 0;
  /// The number of attempts that have not ended, including those of ended
  /// calls.
  std::size_t Attempts_ = 0;
  std::vector<TargetStatus> Targets_;
  /// The number of targets that limit their requests.
  std::size_t LimitedTargets_ = 0;
  std::vector<QueueStatus> Queues_;
  std::vector<PeerStatus> Peers_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_CORESTATUS_H
