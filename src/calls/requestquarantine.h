#ifndef CRANBERRYSPOOL_CALLS_REQUESTQUARANTINE_H
#define CRANBERRYSPOOL_CALLS_REQUESTQUARANTINE_H

#include "calls/types/crashrecord.h"
#include "calls/types/requestfingerprint.h"
#include "framework/time.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

namespace cranberryspool::calls {

/// Remembers which requests targets had when they crashed. A request that
/// several targets had is quarantined: it is not sent to targets for a while.
/// A target may crash for other reasons while it has requests that are sound,
/// so one crash proves nothing, and a request that a target completes is
/// cleared.
class RequestQuarantine {
public:
  /// The number of crashes that quarantine a request.
  static constexpr std::size_t CrashLimit = 3;
  /// The duration of a quarantine, from the last crash on.
  static constexpr framework::Duration Period = std::chrono::minutes(10);
  /// A request whose last crash is older is forgotten. Until then one more
  /// crash quarantines it again.
  static constexpr framework::Duration Retention = std::chrono::hours(1);
  /// The number of requests that are remembered.
  static constexpr std::size_t MaxRecords = 256;

  /// Merges what this or another instance knows of a request. Returns true when
  /// that was new.
  bool merge(const CrashRecord &Known, framework::Instant Now);

  /// Records that a target completed the request. Returns true when this clears
  /// the request of crashes.
  bool recordCompleted(const RequestFingerprint &Request,
                       framework::Instant Now);

  /// Returns the time for which the request must not be sent to targets;
  /// nothing when it is not quarantined.
  std::optional<framework::Duration> timeLeft(const RequestFingerprint &Request,
                                              framework::Instant Now) const;

  /// Removes the records that are older than the retention.
  void expire(framework::Instant Now);

  const std::map<RequestFingerprint, CrashRecord> &records() const {
    return Records_;
  }
  /// Returns the number of requests in quarantine.
  std::size_t quarantinedCount(framework::Instant Now) const;

private:
  bool addCrash(CrashRecord &Record, const TargetCrash &Added);
  void limitRecords();

  std::map<RequestFingerprint, CrashRecord> Records_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_REQUESTQUARANTINE_H
