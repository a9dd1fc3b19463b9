#ifndef CRANBERRYSPOOL_SESSION_SCRIPTEDTARGET_H
#define CRANBERRYSPOOL_SESSION_SCRIPTEDTARGET_H

#include "framework/time.h"
#include "session/types/targetmode.h"

#include <chrono>
#include <cstdint>

namespace cranberryspool::session {

/// How a scripted target behaves now.
struct ScriptedTarget {
  TargetMode Mode_ = TargetMode::Answer;
  framework::Duration AnswerTime_ = std::chrono::milliseconds(5);
  std::uint64_t StartId_ = 1;
  bool IsCold_ = false;
};

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_SCRIPTEDTARGET_H
