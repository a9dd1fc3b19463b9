#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_ROUTE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_ROUTE_H

#include "document/types/weightedservice.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::document {

/// Requests of one virtual host below one path prefix, and how they are
/// treated. An alternative to the kinds of a service for deployments that
/// route by host.
struct Route {
  framework::KindName Name_;
  std::string Host_;
  /// Begins and ends with a slash. Of the routes of a host, the one with the
  /// longest prefix of the path is chosen.
  std::string PathPrefix_;
  bool IsIdempotent_ = false;
  /// 0 is the most urgent.
  std::uint32_t Priority_ = 0;
  /// The longest time that a caller is kept waiting.
  framework::Duration Timeout_{};
  /// An answer within this time is worth most to the caller.
  framework::Duration LatencyObjective_{};
  /// Targets to which one call may be sent.
  std::uint32_t MaxAttempts_ = 1;
  /// At least one.
  std::vector<WeightedService> WeightedServices_;

  friend bool operator==(const Route &, const Route &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_ROUTE_H
