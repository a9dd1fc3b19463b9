#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_CALLSETTINGS_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_CALLSETTINGS_H

#include "calls/types/silencethresholds.h"
#include "decision/internal/extrawindow.h"
#include "fleet/types/fleetbounds.h"
#include "framework/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace cranberryspool::decision {

/// How attempts, connections and endings are handled.
struct CallSettings {
  /// Attempts of one call at most, the first included.
  std::uint32_t MaxAttempts_ = 4;

  /// Retries and hedges together, for each thousand recent successes.
  std::uint32_t ExtraPerThousand_ = 40;
  std::uint32_t ExtraCapacity_ = 20;
  std::uint32_t ExtraInitial_ = 3;
  /// Attempts after a target said that it did not run the request, for each
  /// thousand recent successes.
  std::uint32_t ResendsPerThousand_ = 200;
  std::uint32_t ResendsCapacity_ = 100;
  std::uint32_t ResendsInitial_ = 20;
  /// Bounds retries, hedges and resends together, in place of the above.
  std::optional<ExtraWindow> Window_ = std::nullopt;

  /// A hedge starts when the first attempt has taken longer than this share of
  /// the recent attempts of its kind.
  std::uint32_t HedgeQuantilePerThousand_ = 960;
  framework::Duration MinHedgeDelay_ = std::chrono::milliseconds(2);
  /// Calls with a latency objective are hedged by it instead: after the first
  /// share of it when the target is known to be slow now, after the second in
  /// any case.
  double HedgeWhenSlow_ = 0.3;
  double HedgeAlways_ = 0.65;
  /// A target is slow when it reports to be so many times slower than usual.
  double SlowTarget_ = 2.0;
  /// How often a call is looked at between the two.
  framework::Duration HedgeRecheck_ = std::chrono::milliseconds(30);

  /// A request that must not run twice goes only on a connection on which the
  /// target was heard this recently.
  framework::Duration AliveWithin_ = std::chrono::seconds(2);
  /// An idle connection on which nothing was heard for so long is closed.
  framework::Duration MaxIdle_ = std::chrono::seconds(20);
  /// A connection that did not open in this time is given up.
  framework::Duration ConnectTimeout_ = std::chrono::milliseconds(500);
  /// Idle connections kept ready for each target that may take work.
  std::uint32_t SpareConnections_ = 1;
  /// True when a target that lately ran requests which must not run twice
  /// always has a connection that is fit for the next one.
  bool AreFreshKept_ = true;
  /// Spare connections opened at one wake-up at most.
  std::uint32_t MaxOpensPerRound_ = 16;

  calls::SilenceThresholds SilenceIdempotent_{
      .LaterAnswers_ = 4,
      .WaitFactor_ = 4,
      .MinWait_ = std::chrono::milliseconds(20)};
  calls::SilenceThresholds SilenceNonIdempotent_{
      .LaterAnswers_ = 16,
      .WaitFactor_ = 10,
      .MinWait_ = std::chrono::milliseconds(250)};

  /// How long an attempt that must not be cut may go on after its call ended.
  framework::Duration MaxAbandoned_ = std::chrono::seconds(30);

  /// When a caller may come back after a refusal; up to as much again is added
  /// at random so that callers do not come back together.
  framework::Duration RetryAfter_ = std::chrono::seconds(1);
  /// When set, a caller is never asked to wait longer than this part of the
  /// time that it has left, which it would not do.
  std::optional<double> RetryAfterShare_ = std::nullopt;
};

/// Returns the settings for instances that find each other by seeds.
inline CallSettings seededCallSettings(const fleet::FleetBounds &Bounds) {
  CallSettings Settings;
  Settings.Window_ = ExtraWindow{.Length_ = Bounds.RetryWindow_};
  Settings.RetryAfter_ = std::chrono::milliseconds(150);
  Settings.RetryAfterShare_ = 0.25;
  // New connections are dear, and targets close idle ones only after seconds.
  Settings.SpareConnections_ = 0;
  Settings.AreFreshKept_ = false;
  Settings.AliveWithin_ = std::chrono::seconds(5);
  Settings.MaxIdle_ = std::chrono::seconds(8);
  Settings.ConnectTimeout_ = std::chrono::milliseconds(300);
  return Settings;
}

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_CALLSETTINGS_H
