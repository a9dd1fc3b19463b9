#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_PROBEANSWERED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_PROBEANSWERED_H

#include "framework/ids.h"
#include "framework/time.h"
#include "routing/types/loadreport.h"

#include <optional>

namespace cranberryspool::decision {

/// A target answered a probe.
struct ProbeAnswered {
  framework::ProbeId Probe_;
  routing::LoadReport Report_;
  std::optional<framework::Incarnation> StartId_;
  framework::Duration RoundTrip_{};
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_PROBEANSWERED_H
