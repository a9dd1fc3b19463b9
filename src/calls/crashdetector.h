#ifndef CRANBERRYSPOOL_CALLS_CRASHDETECTOR_H
#define CRANBERRYSPOOL_CALLS_CRASHDETECTOR_H

#include "calls/types/requestfingerprint.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace cranberryspool::calls {

/// Tells targets that crashed from targets that reset a connection. Attempts
/// that were lost with their connections are held until it is known whether the
/// target still accepts connections. If it refuses the next one, nothing runs
/// at its address any more, and the requests of these attempts were in progress
/// when it ended.
class CrashDetector {
public:
  /// Records that an attempt was lost with its connection after its request may
  /// have been written.
  void recordLost(framework::TargetId Target, const RequestFingerprint &Request,
                  framework::Instant Now);
  /// Records that the target closed a connection or refused one.
  void recordClosed(framework::TargetId Target, framework::Instant Now);
  /// Records that the target accepted a connection or still holds one. The
  /// attempts were lost for another reason.
  void recordReachable(framework::TargetId Target) { Losses_.erase(Target); }

  /// Returns the targets with lost attempts that must be checked now; each is
  /// returned once.
  std::vector<framework::TargetId> takeDueChecks(framework::Instant Now);
  std::optional<framework::Instant> nextWakeUp() const;

  /// Records that the target refused a connection because nothing listens
  /// there. Returns the requests that it had when it ended. `ConnectedTargets`
  /// is the number of targets to which this instance still has connections:
  /// when several targets closed theirs lately and none is left, this instance
  /// has lost the network, and no request is returned.
  std::vector<RequestFingerprint> recordRefused(framework::TargetId Target,
                                                std::size_t ConnectedTargets,
                                                framework::Instant Now);

private:
  struct TargetLosses {
    std::vector<RequestFingerprint> Requests_;
    framework::Instant FirstLostAt_;
    bool IsChecked_ = false;
  };

  std::map<framework::TargetId, TargetLosses> Losses_;
  std::map<framework::TargetId, framework::Instant> ClosedAt_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_CRASHDETECTOR_H
