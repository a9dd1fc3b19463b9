#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_STATUSCOLLECTOR_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_STATUSCOLLECTOR_H

#include "decision/corestatus.h"
#include "decision/internal/corestate.h"

#include <vector>

namespace cranberryspool::decision {

/// Collects the status of a core.
class StatusCollector {
public:
  explicit StatusCollector(const CoreState &Core) : Core_(Core) {}

  /// Returns the complete status except readiness and stopping, which are not
  /// part of the shared state.
  CoreStatus collect(framework::Instant Now) const;

private:
  std::vector<TargetStatus> targets() const;
  std::vector<QueueStatus> queues() const;
  std::vector<PeerStatus> peers() const;

  const CoreState &Core_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_STATUSCOLLECTOR_H
