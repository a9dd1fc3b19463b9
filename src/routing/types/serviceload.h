#ifndef CRANBERRYSPOOL_ROUTING_TYPES_SERVICELOAD_H
#define CRANBERRYSPOOL_ROUTING_TYPES_SERVICELOAD_H

namespace cranberryspool::routing {

/// How much of a service's slots its targets report to be taken.
enum class ServiceLoad {
  /// No target has reported lately.
  Unknown,
  Low,
  /// Most slots are taken. A target that rejects a request may be full.
  Busy,
  /// Requests wait in the queues of the targets.
  Saturated,
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_SERVICELOAD_H
