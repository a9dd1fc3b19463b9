#ifndef CRANBERRYSPOOL_SCHEDULING_TESTS_LOADCASE_H
#define CRANBERRYSPOOL_SCHEDULING_TESTS_LOADCASE_H

#include "document/types/urgency.h"
#include "framework/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace cranberryspool::scheduling {

/// One kind of call on the service of a load case.
struct KindLoad {
  std::string Name_;
  /// 0 is urgent.
  std::uint32_t Priority_ = 0;
  framework::Duration Objective_{};
  framework::Duration Timeout_{};
  framework::Duration Work_{};
  double UsualPerSecond_ = 0;
  double BurstFactor_ = 1;

  document::Urgency urgency() const {
    return Priority_ == 0 ? document::Urgency::Urgent
                          : document::Urgency::Ordinary;
  }
};

/// A service in virtual time: usual load, then a burst, whose calls are
/// counted.
struct LoadCase {
  std::string Name_;
  std::vector<KindLoad> Kinds_;
  /// Targets of two slots. In each half second a target is slow with this
  /// probability, and then takes this many times as long. They are slow in the
  /// burst only unless `IsAlwaysSlow_`.
  std::size_t Targets_ = 6;
  double SlowShare_ = 0;
  double SlowFactor_ = 1;
  bool IsAlwaysSlow_ = false;
  /// How often callers repeat a refused call after the time they were told.
  std::uint32_t Retries_ = 0;
};

/// What the callers of one kind got, as parts of the calls sent.
struct KindResult {
  double Sent_ = 0;
  double InTime_ = 0;
  double Late_ = 0;
  double RefusalSeconds_ = 0;

  double inTime() const { return InTime_ / Sent_; }
  double served() const { return (InTime_ + Late_) / Sent_; }
};

struct LoadResult {
  std::vector<KindResult> Kinds_;
  /// The calls that failed, and half of the late ones, weighted by 4 for
  /// priority 0, 2 for 1 and 1 for others, as a part of all calls so weighted.
  double Cost_ = 0;
};

} // namespace cranberryspool::scheduling

#endif // CRANBERRYSPOOL_SCHEDULING_TESTS_LOADCASE_H
