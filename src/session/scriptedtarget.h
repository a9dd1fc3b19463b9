#ifndef CRANBERRYSPOOL_SESSION_SCRIPTEDTARGET_H
#define CRANBERRYSPOOL_SESSION_SCRIPTEDTARGET_H

#include "framework/time.h"
#include "session/types/targetmode.h"

#include <chrono>
#include <cstdint>

namespace cranberryspool::session {

/// The current behaviour of a scripted target.
struct ScriptedTarget {
  TargetMode Mode_ = TargetMode::Respond;
  /// The time from the arrival of an attempt to its response.
  framework::Duration ResponseTime_ = std::chrono::milliseconds(5);
  /// Identifies the run of the target; a different value means a restart.
  std::uint64_t StartId_ = 1;
  /// Whether the target reports that it is cold, as after a restart.
  bool IsCold_ = false;
};

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_SCRIPTEDTARGET_H
