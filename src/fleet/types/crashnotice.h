#ifndef CRANBERRYSPOOL_FLEET_TYPES_CRASHNOTICE_H
#define CRANBERRYSPOOL_FLEET_TYPES_CRASHNOTICE_H

#include "calls/types/crashrecord.h"
#include "calls/types/requestfingerprint.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <optional>
#include <vector>

namespace cranberryspool::fleet {

/// A target that crashed, as reported to other instances.
struct CrashedTarget {
  framework::TargetName Target_;
  /// The time since the crash.
  framework::Duration Age_{};

  friend bool operator==(const CrashedTarget &,
                         const CrashedTarget &) = default;
};

/// The targets that crashed while they had the same request, as reported to
/// other instances.
struct CrashNotice {
  calls::RequestFingerprint Request_;
  std::vector<CrashedTarget> Crashes_;
  /// The time since a target last completed the request.
  std::optional<framework::Duration> CompletedAge_;

  friend bool operator==(const CrashNotice &, const CrashNotice &) = default;
};

/// Converts a record with times of this instance's clock.
CrashNotice makeCrashNotice(const calls::CrashRecord &Record,
                            framework::Instant Now);
calls::CrashRecord makeCrashRecord(const CrashNotice &Notice,
                                   framework::Instant Now);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_CRASHNOTICE_H
