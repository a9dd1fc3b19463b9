#ifndef CRANBERRYSPOOL_ROUTING_TYPES_TARGETSTATE_H
#define CRANBERRYSPOOL_ROUTING_TYPES_TARGETSTATE_H

#include "framework/time.h"
#include "routing/types/loadreport.h"
#include "routing/types/recentlatency.h"
#include "routing/types/targetdescription.h"
#include "routing/types/targetlimits.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cranberryspool::routing {

/// The signals about a target on which load-balancing policies base their
/// selection.
struct TargetState {
  TargetDescription Description_;
  TargetLimits Limits_;
  bool IsInLocalZone_ = false;
  /// True when the target appeared in the list after this instance had started
  /// and has not received an attempt of this instance yet.
  bool IsUntried_ = false;

  /// The number of this instance's attempts that have not ended.
  std::uint32_t InFlight_ = 0;
  /// The sum of the send times of the attempts in flight, in microseconds since
  /// the clock's epoch. From it the sum of their ages is computed in O(1).
  std::int64_t SentTimeSum_ = 0;

  LoadReport Report_;
  std::optional<framework::Instant> ReportedAt_;
  /// The send times of this instance's attempts since the report, at most
  /// `MaxSendTimes`.
  std::vector<framework::Instant> SentSinceReport_;

  /// The attempts of all other instances in flight, as they last reported.
  std::uint32_t PeerInFlight_ = 0;
  std::optional<framework::Instant> PeerInFlightAt_;
  /// The attempts that this instance has sent since the other instances last
  /// reported theirs.
  std::uint32_t SentSincePeerUpdate_ = 0;

  /// The latency of this instance's recent attempts.
  RecentLatency RecentLatency_;

  /// The moving average of the response time; zero before the first response.
  double LatencyMicros_ = 0;

  /// Returns true when a slot of this instance's share is free.
  bool hasFreeShare() const { return InFlight_ < Limits_.SlotShare_; }

  void recordSent(framework::Instant Now) {
    if (SentSinceReport_.size() < MaxSendTimes)
      SentSinceReport_.push_back(Now);
  }

  void discardSentBefore(framework::Instant Then) {
    std::erase_if(SentSinceReport_,
                  [&](framework::Instant Sent) { return Sent <= Then; });
  }

  static constexpr std::size_t MaxSendTimes = 64;

  /// Returns the sum of the ages of the attempts in flight, in microseconds.
  double inFlightAgeSumMicros(framework::Instant Now) const {
    const auto NowMicros = Now.time_since_epoch().count();
    return static_cast<double>(NowMicros * InFlight_ - SentTimeSum_);
  }
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_TARGETSTATE_H
