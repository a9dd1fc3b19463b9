#ifndef CRANBERRYSPOOL_CALLS_TYPES_CRASHRECORD_H
#define CRANBERRYSPOOL_CALLS_TYPES_CRASHRECORD_H

#include "calls/types/requestfingerprint.h"
#include "calls/types/targetcrash.h"
#include "framework/time.h"

#include <optional>
#include <vector>

namespace cranberryspool::calls {

/// The targets that crashed while they had the same request.
struct CrashRecord {
  RequestFingerprint Request_;
  /// The most recent crashes, oldest first.
  std::vector<TargetCrash> Crashes_;
  /// When a target last completed the request. Crashes before that do not
  /// count.
  std::optional<framework::Instant> CompletedAt_ = std::nullopt;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_CRASHRECORD_H
