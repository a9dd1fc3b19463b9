#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_CALLSETTINGS_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_CALLSETTINGS_H

#include "calls/types/silencethresholds.h"
#include "decision/internal/extraattemptlimit.h"
#include "fleet/types/fleetbounds.h"
#include "framework/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace cranberryspool::decision {

/// Limits and timeouts for attempts, connections and the ending of calls.
struct CallSettings {
  /// The maximum number of attempts of one call, including the first.
  std::uint32_t MaxAttempts_ = 4;

  /// The budget of retries and hedges together: attempts per thousand recent
  /// successes, and the capacity and initial level of the budget.
  std::uint32_t ExtraAttemptsPerThousand_ = 40;
  std::uint32_t ExtraAttemptsCapacity_ = 20;
  std::uint32_t ExtraAttemptsInitial_ = 3;
  /// The budget of resends, which are attempts after a target answered that it
  /// did not run the request: attempts per thousand recent successes, and the
  /// capacity and initial level of the budget.
  std::uint32_t ResendsPerThousand_ = 200;
  std::uint32_t ResendsCapacity_ = 100;
  std::uint32_t ResendsInitial_ = 20;
  /// When set, limits retries, hedges and resends together in place of the
  /// budgets above.
  std::optional<ExtraAttemptLimit> WindowLimit_ = std::nullopt;

  /// A hedge starts when the first attempt has taken longer than this quantile,
  /// per thousand, of the recent attempts of its request kind.
  std::uint32_t HedgeQuantilePerThousand_ = 960;
  framework::Duration MinHedgeDelay_ = std::chrono::milliseconds(2);
  /// Calls with a latency objective use these shares of the objective instead:
  /// after the first share they are hedged if the target is currently slow,
  /// after the second share in any case.
  double SlowTargetHedgeShare_ = 0.3;
  double HedgeShare_ = 0.65;
  /// A target is slow when it reports that it is slower than usual by at least
  /// this factor.
  double SlowTargetFactor_ = 2.0;
  /// The interval at which a call is rechecked between the two shares.
  framework::Duration HedgeRecheckInterval_ = std::chrono::milliseconds(30);

  /// A non-idempotent request is sent only on a connection on which data was
  /// received within this time.
  framework::Duration MaxActivityAge_ = std::chrono::seconds(2);
  /// An idle connection on which nothing was received for this long is closed.
  framework::Duration MaxIdleTime_ = std::chrono::seconds(20);
  /// The time limit for opening a connection.
  framework::Duration ConnectTimeout_ = std::chrono::milliseconds(500);
  /// The number of idle connections kept open to each target that accepts work.
  std::uint32_t SpareConnections_ = 1;
  /// True if a recently active connection is always kept open to each target
  /// that has recently received non-idempotent requests.
  bool IsActiveSpareKept_ = true;
  /// The maximum number of spare connections opened in one maintenance run.
  std::uint32_t MaxOpensPerMaintenance_ = 16;

  calls::SilenceThresholds SilenceIdempotent_{
      .LaterAnswers_ = 4,
      .WaitFactor_ = 4,
      .MinWait_ = std::chrono::milliseconds(20)};
  calls::SilenceThresholds SilenceNonIdempotent_{
      .LaterAnswers_ = 16,
      .WaitFactor_ = 10,
      .MinWait_ = std::chrono::milliseconds(250)};

  /// The time limit for a non-idempotent attempt that continues after its call
  /// has ended.
  framework::Duration MaxAbandonedTime_ = std::chrono::seconds(30);

  /// The retry delay sent with a refusal. A random extra of up to the same
  /// length is added, so that callers do not retry at the same moment.
  framework::Duration RetryAfter_ = std::chrono::seconds(1);
  /// When set, the retry delay is at most this share of the time left until the
  /// call's deadline, because a caller would not retry later than that.
  std::optional<double> MaxRetryAfterShare_ = std::nullopt;
};

/// Returns the settings for instances that discover each other through seeds.
inline CallSettings seededCallSettings(const fleet::FleetBounds &Bounds) {
  CallSettings Settings;
  Settings.WindowLimit_ = ExtraAttemptLimit{.Length_ = Bounds.RetryWindow_};
  Settings.RetryAfter_ = std::chrono::milliseconds(150);
  Settings.MaxRetryAfterShare_ = 0.25;
  // New connections are expensive, and targets close idle ones only after
  // several seconds.
  Settings.SpareConnections_ = 0;
  Settings.IsActiveSpareKept_ = false;
  Settings.MaxActivityAge_ = std::chrono::seconds(5);
  Settings.MaxIdleTime_ = std::chrono::seconds(8);
  Settings.ConnectTimeout_ = std::chrono::milliseconds(300);
  return Settings;
}

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_CALLSETTINGS_H
