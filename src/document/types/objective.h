#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_OBJECTIVE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_OBJECTIVE_H

#include "document/types/urgency.h"
#include "framework/time.h"

#include <cstdint>

namespace cranberryspool::document {

/// A service-level objective: the share of calls that must be answered within
/// the latency.
struct Objective {
  Urgency Urgency_ = Urgency::Ordinary;
  framework::Duration Latency_{};
  /// The required share of calls in parts per million, for example 999000 for
  /// 99.9 %.
  std::uint32_t GoodPerMillion_ = 0;

  friend bool operator==(const Objective &, const Objective &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_OBJECTIVE_H
