#ifndef CRANBERRYSPOOL_CALLS_RESTARTDETECTOR_H
#define CRANBERRYSPOOL_CALLS_RESTARTDETECTOR_H

#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <map>

namespace cranberryspool::calls {

/// Detects restarts of targets by connection resets. A target that stops resets
/// all its connections at once, while a single connection may be closed for
/// many reasons.
class RestartDetector {
public:
  /// Records that the target closed a connection. `WasIdle` tells whether the
  /// connection was idle, `Remaining` how many connections to the target are
  /// still open. Returns true when the target seems to have restarted.
  bool recordClosed(framework::TargetId Target, bool WasIdle,
                    std::uint32_t Remaining, framework::Instant Now);

private:
  struct Burst {
    framework::Instant BeganAt_{};
    std::uint32_t Closed_ = 0;
  };

  std::map<framework::TargetId, Burst> Bursts_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_RESTARTDETECTOR_H
