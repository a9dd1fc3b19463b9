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

/// What an instance believes and does now, as plain values.
struct CoreStatus {
  framework::Revision DocumentRevision_;
  framework::Digest DocumentDigest_;
  framework::Revision ListRevision_;
  /// Since the platform's store last answered; zero where a list is published.
  framework::Duration ViewAge_{};
  /// The most instances that may run, this one included.
  std::size_t FleetSize_ = 0;
  bool IsReady_ = false;
  bool IsStopping_ = false;
  /// True while new work may be sent to targets.
  bool IsViewFresh_ = false;
  /// Calls that were accepted and have not ended.
  std::size_t Calls_ = 0;
  /// Attempts that have not ended, those of ended calls included.
  std::size_t Attempts_ = 0;
  std::vector<TargetStatus> Targets_;
  std::vector<QueueStatus> Queues_;
  std::vector<PeerStatus> Peers_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_CORESTATUS_H
