#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCESTATE_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCESTATE_H

#include "entry/defaulthttpprofile.h"
#include "entry/internal/callerlimitsnow.h"
#include "entry/internal/keptanswers.h"
#include "entry/internal/pendingsections.h"
#include "entry/types/entrylimits.h"
#include "entry/types/httpprofile.h"
#include "framework/runtime/bytebudget.h"

#include <atomic>
#include <utility>

namespace cranberryspool::entry {

/// What the duties of one instance share besides the rings.
struct InstanceState {
  InstanceState(const EntryLimits &Limits, Mailboxes &Rings,
                HttpProfile Spoken = defaultHttpProfile())
      : HttpProfile_(std::move(Spoken)), CallerLimits_(Limits),
        RequestBytes_(Limits.RequestBytes_), AnswerBytes_(Limits.AnswerBytes_),
        KeptAnswers_(Limits.KeptAnswerBytes_), Sections_(Rings) {}

  const HttpProfile HttpProfile_;
  CallerLimitsNow CallerLimits_;
  framework::ByteBudget RequestBytes_;
  framework::ByteBudget AnswerBytes_;
  KeptAnswers KeptAnswers_;
  PendingSections Sections_;
  std::atomic<bool> IsReady_{false};
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCESTATE_H
