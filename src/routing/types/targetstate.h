#ifndef CRANBERRYSPOOL_ROUTING_TYPES_TARGETSTATE_H
#define CRANBERRYSPOOL_ROUTING_TYPES_TARGETSTATE_H

#include "framework/time.h"
#include "routing/types/loadreport.h"
#include "routing/types/recentanswers.h"
#include "routing/types/targetdescription.h"
#include "routing/types/targetlimits.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cranberryspool::routing {

/// The signals about a target that policies choose by.
struct TargetState {
  TargetDescription Description_;
  TargetLimits Bounds_;
  bool IsInOwnZone_ = false;
  /// It joined later than this instance, which has not sent it anything yet.
  bool IsUntried_ = false;

  /// Attempts of this instance that have not ended.
  std::uint32_t InFlight_ = 0;
  /// The sum of the send times of the attempts in flight, in microseconds
  /// since the clock's epoch; with it the sum of their ages costs O(1).
  std::int64_t SentTimeSum_ = 0;

  LoadReport Report_;
  std::optional<framework::Instant> ReportedAt_;
  /// When this instance sent attempts since the report, the last few.
  std::vector<framework::Instant> SentSinceReport_;

  /// Attempts in flight of all other instances, as they told last.
  std::uint32_t PeerInFlight_ = 0;
  std::optional<framework::Instant> PeerInFlightAt_;
  /// Attempts that this instance has sent since the peers told.
  std::uint32_t SentSincePeers_ = 0;

  /// How fast this instance's attempts were lately answered.
  RecentAnswers Recent_;

  /// Moving average of the time of an answer; zero before the first answer.
  double LatencyMicros_ = 0;

  void recordSent(framework::Instant Now) {
    if (SentSinceReport_.size() < MaxSentKept)
      SentSinceReport_.push_back(Now);
  }

  void forgetSentBefore(framework::Instant Then) {
    std::erase_if(SentSinceReport_,
                  [&](framework::Instant Sent) { return Sent <= Then; });
  }

  static constexpr std::size_t MaxSentKept = 64;

  /// The sum of the ages of the attempts in flight, in microseconds.
  double ageSumMicros(framework::Instant Now) const {
    const auto NowMicros = Now.time_since_epoch().count();
    return static_cast<double>(NowMicros * InFlight_ - SentTimeSum_);
  }
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TYPES_TARGETSTATE_H
