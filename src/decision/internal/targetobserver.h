#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_TARGETOBSERVER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_TARGETOBSERVER_H

#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"
#include "framework/ids.h"
#include "routing/types/loadreport.h"

#include <optional>

namespace cranberryspool::decision {

/// Forwards observations of targets to routing, to peers and to the log.
class TargetObserver {
public:
  explicit TargetObserver(CoreState &Core) : Core_(Core) {}

  /// Records the start identifier and the load that a target reported in an
  /// answer or in response to a probe.
  void recordObservation(const EventContext &Context,
                         framework::TargetId Target,
                         std::optional<framework::Incarnation> Start,
                         const std::optional<routing::LoadReport> &Report);
  /// Reports the changes of target state since the last call.
  void reportChanges(const EventContext &Context);

private:
  CoreState &Core_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_TARGETOBSERVER_H
