#ifndef CRANBERRYSPOOL_ROUTING_INTERNAL_RATESHARE_H
#define CRANBERRYSPOOL_ROUTING_INTERNAL_RATESHARE_H

namespace cranberryspool::routing {

/// This instance's share of a rate that applies to all instances together.
struct RateShare {
  /// Requests per second.
  double PerSecond_ = 0;
  /// The number of requests that may be sent at once after a while without any;
  /// at least one.
  double Burst_ = 1;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_INTERNAL_RATESHARE_H
