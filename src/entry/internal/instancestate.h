#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCESTATE_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCESTATE_H

#include "framework/runtime/bytebudget.h"

#include <atomic>

namespace cranberryspool::entry {

/// What the duties of one instance share besides the rings.
struct InstanceState {
  InstanceState(std::size_t RequestBytes, std::size_t AnswerBytes)
      : RequestBytes_(RequestBytes), AnswerBytes_(AnswerBytes) {}

  framework::ByteBudget RequestBytes_;
  framework::ByteBudget AnswerBytes_;
  std::atomic<bool> IsReady_{false};
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCESTATE_H
