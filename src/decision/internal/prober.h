#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_PROBER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_PROBER_H

#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"
#include "decision/internal/targetobserver.h"
#include "decision/types/events/probeanswered.h"
#include "decision/types/events/probefailed.h"
#include "framework/ids.h"

#include <map>
#include <set>

namespace cranberryspool::decision {

/// Probes targets whose load has not been reported recently by an answer,
/// within this instance's share of the probe budget.
class Prober {
public:
  Prober(CoreState &Core, TargetObserver &Observer)
      : Core_(Core), Observer_(Observer) {}

  void probe(const EventContext &Context);
  void handle(const EventContext &Context, const ProbeAnswered &Input);
  void handle(const EventContext &Context, const ProbeFailed &Input);

private:
  void send(const EventContext &Context, framework::TargetId Target);
  /// Probes targets from the platform's metadata store. They report their
  /// warm-up state only in answers to probes, so regular traffic does not
  /// replace probes.
  void probeStoreTargets(const EventContext &Context);
  /// Returns the interval at which targets of the service are probed.
  framework::Duration probeInterval(framework::ServiceId Service) const;

  CoreState &Core_;
  TargetObserver &Observer_;
  std::map<framework::ProbeId, framework::TargetId> Pending_;
  /// The targets that have named a request limit in a response to a probe. A
  /// response of theirs that names none shows that the limit has ended.
  std::set<framework::TargetId> NamesLimitToProbes_;
  std::uint64_t LastProbeId_ = 0;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_PROBER_H
