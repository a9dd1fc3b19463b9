#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_ROUTE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_ROUTE_H

#include "document/types/weightedservice.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::document {

/// The rules for handling the requests of one virtual host with one path
/// prefix. Routes are an alternative to the kinds of a service, for deployments
/// that route by host.
struct Route {
  framework::KindName Name_;
  std::string Host_;
  /// A path that begins and ends with a slash. The route with the longest
  /// matching prefix is selected.
  std::string PathPrefix_;
  /// True when the request may be executed more than once.
  bool IsIdempotent_ = false;
  /// The priority class; 0 is the most urgent.
  std::uint32_t Priority_ = 0;
  /// The maximum time until the caller gets a response.
  framework::Duration Timeout_{};
  /// The latency target: responses within this time have the highest value.
  framework::Duration LatencyObjective_{};
  /// The maximum number of targets to which one call may be sent.
  std::uint32_t MaxAttempts_ = 1;
  /// True when the environment has workspaces and the route is open to requests
  /// without a key.
  bool IsAnonymousAllowed_ = false;
  /// The services that share the requests; never empty.
  std::vector<WeightedService> WeightedServices_;

  friend bool operator==(const Route &, const Route &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_ROUTE_H
