#ifndef CRANBERRYSPOOL_REPORT_TYPES_OBJECTIVEKEY_H
#define CRANBERRYSPOOL_REPORT_TYPES_OBJECTIVEKEY_H

#include "document/types/urgency.h"
#include "framework/ids.h"

namespace cranberryspool::report {

/// The calls that a service-level objective applies to: those of one service
/// and urgency.
struct ObjectiveKey {
  framework::ServiceName Service_;
  document::Urgency Urgency_ = document::Urgency::Ordinary;

  friend auto operator<=>(const ObjectiveKey &, const ObjectiveKey &) = default;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_OBJECTIVEKEY_H
