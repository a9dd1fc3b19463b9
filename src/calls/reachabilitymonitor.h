#ifndef CRANBERRYSPOOL_CALLS_REACHABILITYMONITOR_H
#define CRANBERRYSPOOL_CALLS_REACHABILITYMONITOR_H

#include "framework/ids.h"
#include "framework/time.h"

#include <cstddef>
#include <map>

namespace cranberryspool::calls {

/// Judges whether this instance reaches any target. It is cut off when
/// connections to several targets could not be opened and none opened in
/// between. Connections that are already open do not count: they may live on
/// during a cut. The cut ends with the first connection that opens.
class ReachabilityMonitor {
public:
  void recordOpened();
  /// Records a connection that could not be opened. `KnownTargets` is the
  /// number of targets that accept work.
  void recordOpenFailed(framework::TargetId Target, std::size_t KnownTargets,
                        framework::Instant Now);
  /// Records that any target has sent something.
  void recordHeard(framework::Instant Now) { LastHeardAt_ = Now; }

  bool isCutOff() const { return IsCutOff_; }

  /// Returns the number of targets to which a connection must be opened now to
  /// learn whether this instance is cut off, or still is. `OldestSentAt` is
  /// when the oldest attempt in progress was sent, or the maximum without one.
  std::size_t takeDueTrials(framework::Instant OldestSentAt,
                            framework::Instant Now);

private:
  std::map<framework::TargetId, framework::Instant> FailedAt_;
  framework::Instant LastHeardAt_{};
  framework::Instant LastTrialAt_{};
  bool IsCutOff_ = false;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_REACHABILITYMONITOR_H
