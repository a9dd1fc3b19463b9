#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_READTIMING_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_READTIMING_H

#include "framework/time.h"

#include <chrono>

namespace cranberryspool::fleet {

/// When an instance reads the metadata store, worked out backwards from the
/// time within which changes must take effect. docs/PLATFORM.md adds the waits
/// up.
struct ReadTiming {
  /// From the arrival of an answer, or the moment at which a read is due, until
  /// it takes effect: the interval of ticks and the longest time for which
  /// changed targets are collected.
  static constexpr framework::Duration HandlingTime =
      std::chrono::milliseconds(150);
  /// The time of an answer on an ordinary day, and the longest one with which
  /// changes still take effect in time.
  static constexpr framework::Duration PromptAnswerTime =
      std::chrono::milliseconds(250);
  static constexpr framework::Duration SlowAnswerTime =
      std::chrono::milliseconds(1000);
  /// The most that members of a group add to the age at which they read, so
  /// that those who miss the same update do not all read at once.
  static constexpr framework::Duration MaxReadJitter =
      std::chrono::milliseconds(100);
  static constexpr framework::Duration MaxLateAnswerTime =
      std::chrono::milliseconds(600);

  /// Works out the times for a bound on the delay of changes.
  explicit ReadTiming(framework::Duration ChangeBound);

  /// The store is read when the view is older than this: longer than a watch
  /// plus the delivery of an update.
  framework::Duration MaxViewAge_;
  /// The same while answers to reads of changes come late.
  framework::Duration MaxViewAgeWhileLate_;
  /// A read is late when it has had no answer for this long, besides the wait
  /// of a watch.
  framework::Duration LateAnswerTime_;
  /// The longest time for which the store may hold a watch open, which bounds
  /// the age of the view.
  framework::Duration MaxWatchWait_;
  /// What is missing is read from the store when other instances have not given
  /// all of it in this time.
  framework::Duration MaxHelpTime_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_READTIMING_H
