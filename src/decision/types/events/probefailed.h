#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_PROBEFAILED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_PROBEFAILED_H

#include "framework/ids.h"

namespace cranberryspool::decision {

/// A probe got no valid answer in time.
struct ProbeFailed {
  framework::ProbeId Probe_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_PROBEFAILED_H
