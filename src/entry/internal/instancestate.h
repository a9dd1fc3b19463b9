#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCESTATE_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCESTATE_H

#include "entry/internal/keptanswers.h"
#include "entry/internal/pendingsections.h"
#include "entry/types/entrylimits.h"
#include "framework/runtime/bytebudget.h"

#include <atomic>

namespace cranberryspool::entry {

/// What the duties of one instance share besides the rings.
struct InstanceState {
  InstanceState(const EntryLimits &Limits, Mailboxes &Rings)
      : RequestBytes_(Limits.RequestBytes_), AnswerBytes_(Limits.AnswerBytes_),
        KeptAnswers_(Limits.KeptAnswerBytes_), Sections_(Rings) {}

  framework::ByteBudget RequestBytes_;
  framework::ByteBudget AnswerBytes_;
  KeptAnswers KeptAnswers_;
  PendingSections Sections_;
  std::atomic<bool> IsReady_{false};
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCESTATE_H
