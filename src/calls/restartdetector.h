#ifndef CRANBERRYSPOOL_CALLS_RESTARTDETECTOR_H
#define CRANBERRYSPOOL_CALLS_RESTARTDETECTOR_H

#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <map>

namespace cranberryspool::calls {

/// Finds targets that started anew: one that stops resets all its connections
/// at once, while a single connection may go for many reasons.
class RestartDetector {
public:
  /// Notes that the other end closed a connection. `WasIdle` tells whether it
  /// carried nothing, `Remaining` how many are still open. Returns true when
  /// the target seems to have started anew.
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
