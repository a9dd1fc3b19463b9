#ifndef CRANBERRYSPOOL_REPORT_TYPES_BURNKEY_H
#define CRANBERRYSPOOL_REPORT_TYPES_BURNKEY_H

#include "document/types/urgency.h"
#include "framework/ids.h"

namespace cranberryspool::report {

/// What a service-level objective covers.
struct ObjectiveKey {
  framework::ServiceName Service_;
  document::Urgency Urgency_ = document::Urgency::Ordinary;

  friend auto operator<=>(const ObjectiveKey &, const ObjectiveKey &) = default;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_BURNKEY_H
