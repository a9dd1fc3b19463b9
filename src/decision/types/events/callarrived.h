#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CALLARRIVED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CALLARRIVED_H

#include "document/types/urgency.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cranberryspool::decision {

/// A caller's whole request has been read.
struct CallArrived {
  framework::CallId Call_;
  std::string Method_;
  std::string Path_;
  /// The host that the caller names; empty when kinds do not go by hosts.
  std::string Host_ = {};
  /// The urgency that the caller asks for; the document's when absent.
  std::optional<document::Urgency> Urgency_;
  /// The time in which the caller wants the answer; the document's deadline
  /// when absent.
  std::optional<framework::Duration> Timeout_;
  std::optional<framework::IdempotencyKey> Key_;
  /// How many calls stand above this one.
  std::uint32_t Depth_ = 0;
  /// 1 for the caller's first attempt.
  std::uint32_t Attempt_ = 1;
  std::uint64_t BodyBytes_ = 0;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CALLARRIVED_H
