#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCESTATE_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCESTATE_H

#include "entry/defaulthttpprofile.h"
#include "entry/internal/effectivecallerlimits.h"
#include "entry/internal/pendingsections.h"
#include "entry/internal/storedresponses.h"
#include "entry/types/entrylimits.h"
#include "entry/types/httpprofile.h"
#include "framework/runtime/bytebudget.h"

#include <atomic>
#include <utility>

namespace cranberryspool::entry {

/// The state that the workers of one instance share besides their mailboxes.
struct InstanceState {
  InstanceState(const EntryLimits &Limits, WorkerMailboxes &Mailboxes,
                HttpProfile Profile = defaultHttpProfile())
      : HttpProfile_(std::move(Profile)), CallerLimits_(Limits),
        RequestBytes_(Limits.RequestBytes_),
        ResponseBytes_(Limits.ResponseBytes_), InputBytes_(Limits.InputBytes_),
        StoredResponses_(Limits.StoredResponseBytes_), Sections_(Mailboxes) {}

  const HttpProfile HttpProfile_;
  EffectiveCallerLimits CallerLimits_;
  framework::ByteBudget RequestBytes_;
  framework::ByteBudget ResponseBytes_;
  framework::ByteBudget InputBytes_;
  StoredResponses StoredResponses_;
  PendingSections Sections_;
  std::atomic<bool> IsReady_{false};
  /// True once a document with workspaces is in force. Keys that are read later
  /// are not kept.
  std::atomic<bool> HasWorkspaces_{false};
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_INSTANCESTATE_H
