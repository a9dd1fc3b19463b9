#ifndef CRANBERRYSPOOL_QUOTAS_QUOTACOORDINATOR_H
#define CRANBERRYSPOOL_QUOTAS_QUOTACOORDINATOR_H

#include "framework/ids.h"
#include "framework/random.h"
#include "framework/time.h"
#include "quotas/types/quotaanswer.h"
#include "quotas/types/quotacounters.h"
#include "quotas/types/quotadecision.h"
#include "quotas/types/quotamember.h"
#include "quotas/types/quotamessage.h"
#include "quotas/types/quotasettings.h"
#include "quotas/types/workspacelimit.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace cranberryspool::quotas {

class CoordinatorState;

/// Keeps the quota of each workspace over the sum of all instances, together
/// with the coordinators of the other instances. Without I/O, clocks or
/// threads: after each operation the caller sends the messages, applies the
/// decisions, and calls `tick` at `nextWakeUp`.
///
/// The quota of a workspace is divided into shares. Each share is a token
/// bucket at one of the instances ranked first by rendezvous hashing (its
/// shareholders). The instance ranked first, or the next one that answers, is
/// the home instance: it collects credits from the shares and grants them to
/// the instances that have callers. Whoever collects them, no more credits
/// exist than the shares issue.
class QuotaCoordinator {
public:
  QuotaCoordinator(QuotaSettings Settings, framework::Random Rng);
  ~QuotaCoordinator();
  QuotaCoordinator(QuotaCoordinator &&) noexcept;
  QuotaCoordinator &operator=(QuotaCoordinator &&) noexcept;

  /// Replaces the quotas. Workspaces with a rate of zero have none.
  void setQuotas(std::vector<WorkspaceLimit> Limits, framework::Instant Now);

  /// Replaces the other running instances. `KnownCount` is the number of
  /// instances known, including this one and those that no longer run.
  void setMembers(std::vector<QuotaMember> Running, std::size_t KnownCount);

  /// Requests a credit for a call. A workspace without a quota is admitted.
  QuotaAnswer request(const framework::WorkspaceName &Workspace,
                      framework::CallId Call, framework::Instant Now);
  /// Withdraws a pending call. Does nothing for other calls.
  void cancel(framework::CallId Call);
  /// Returns the credit of an admitted call that was not sent.
  void giveBack(const framework::WorkspaceName &Workspace,
                framework::Instant Now);

  void handle(const QuotaRequest &Message, framework::Instant Now);
  void handle(const QuotaGrant &Message, framework::Instant Now);

  void tick(framework::Instant Now);
  /// Returns when `tick` is due next, the epoch if at once; nothing while there
  /// is nothing to do. `setMembers` has no time, so a tick is due after it.
  std::optional<framework::Instant> nextWakeUp() const;

  std::vector<QuotaMessage> takeMessages();
  /// Returns the decisions on calls that were pending.
  std::vector<QuotaDecision> takeDecisions();

  const QuotaCounters &counters() const;
  /// Returns the number of workspaces for which this instance keeps state
  /// beyond the configured limit.
  std::size_t activeWorkspaceCount() const;

private:
  std::unique_ptr<CoordinatorState> State_;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_QUOTACOORDINATOR_H
