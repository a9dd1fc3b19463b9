#ifndef CRANBERRYSPOOL_QUOTAS_INTERNAL_COORDINATORSTATE_H
#define CRANBERRYSPOOL_QUOTAS_INTERNAL_COORDINATORSTATE_H

#include "framework/random.h"
#include "quotas/internal/callaccount.h"
#include "quotas/internal/creditpool.h"
#include "quotas/internal/memberview.h"
#include "quotas/internal/quotacontext.h"
#include "quotas/internal/quotaoutbox.h"
#include "quotas/internal/sharebucket.h"
#include "quotas/types/quotaanswer.h"
#include "quotas/types/quotacounters.h"
#include "quotas/types/quotadecision.h"
#include "quotas/types/quotamessage.h"
#include "quotas/types/quotasettings.h"
#include "quotas/types/workspacelimit.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberryspool::quotas {

/// The state of a `QuotaCoordinator`: what this instance is for each workspace
/// that has callers.
class CoordinatorState {
public:
  CoordinatorState(QuotaSettings Settings, framework::Random Rng);

  void setQuotas(std::vector<WorkspaceLimit> Limits, framework::Instant Now);
  void setMembers(std::vector<QuotaMember> Running, std::size_t KnownCount);
  QuotaAnswer request(const framework::WorkspaceName &Name,
                      framework::CallId Call, framework::Instant Now);
  void cancel(framework::CallId Call);
  void giveBack(const framework::WorkspaceName &Name, framework::Instant Now);
  void handle(const QuotaRequest &Message, framework::Instant Now);
  void handle(const QuotaGrant &Message, framework::Instant Now);
  void tick(framework::Instant Now);
  std::optional<framework::Instant> nextWakeUp() const;
  std::vector<QuotaMessage> takeMessages();
  std::vector<QuotaDecision> takeDecisions();
  const QuotaCounters &counters() const { return Counters_; }
  std::size_t activeCount() const { return Active_.size(); }

private:
  struct Workspace {
    WorkspaceLimit Limit_;
    std::vector<MemberView::Shareholder> Shareholders_;
    /// The version of the members that the shareholders belong to.
    std::optional<std::uint64_t> MembersVersion_;
    std::optional<ShareBucket> Share_;
    std::optional<CreditPool> Pool_;
    std::optional<CallAccount> Account_;
  };

  Workspace *activate(const framework::WorkspaceName &Name);
  QuotaContext makeContext(Workspace &Each, framework::Instant Now);
  void apply(const QuotaRequest &Message, framework::Instant Now);
  void apply(const QuotaGrant &Message, framework::Instant Now);
  Credits takeShare(const QuotaRequest &Message, Workspace &Found,
                    framework::Instant Now);
  void answer(const QuotaRequest &Message, Credits Amount,
              framework::Duration NextCreditIn);
  bool isFromPast(const framework::InstanceName &From,
                  framework::Incarnation Incarnation) const;
  bool isShareholder(const Workspace &Each) const;
  /// Handles messages to this instance and gives the others an address.
  void dispatchMessages(framework::Instant Now);
  void changeLimit(Workspace &Each, const WorkspaceLimit *New,
                   framework::Instant Now);
  void dropIdle(framework::Instant Now);

  QuotaSettings Settings_;
  framework::Random Rng_;
  MemberView Members_;
  std::map<framework::WorkspaceName, WorkspaceLimit> Limits_;
  std::map<framework::WorkspaceName, Workspace> Active_;
  QuotaOutbox Outbox_;
  std::vector<QuotaMessage> Messages_;
  std::vector<QuotaDecision> Decisions_;
  QuotaCounters Counters_;
  framework::Instant NextSweepAt_{};
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_INTERNAL_COORDINATORSTATE_H
