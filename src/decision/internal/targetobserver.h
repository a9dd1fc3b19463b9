#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_TARGETOBSERVER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_TARGETOBSERVER_H

#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"
#include "framework/ids.h"
#include "routing/types/loadreport.h"

#include <optional>

namespace cranberryspool::decision {

/// Passes what is learnt of targets on to routing, peers and the log.
class TargetNotes {
public:
  explicit TargetNotes(CoreParts &Parts) : Parts_(Parts) {}

  /// A target told its start and its load, on an answer or to a probe.
  void noteSeen(const Step &At, framework::TargetId Target,
                std::optional<framework::Incarnation> Start,
                const std::optional<routing::LoadReport> &Report);
  /// Reports the changes of state since the last call.
  void report(const Step &At);

private:
  CoreParts &Parts_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_TARGETOBSERVER_H
