#ifndef CRANBERRYSPOOL_QUOTAS_INTERNAL_CALLACCOUNT_H
#define CRANBERRYSPOOL_QUOTAS_INTERNAL_CALLACCOUNT_H

#include "framework/ids.h"
#include "framework/time.h"
#include "quotas/internal/credits.h"
#include "quotas/internal/demandestimate.h"
#include "quotas/types/quotaanswer.h"
#include "quotas/types/quotagrant.h"
#include "quotas/types/quotarequest.h"

#include <deque>
#include <optional>

namespace cranberryspool::quotas {

struct QuotaContext;

/// The part of an instance that has callers of a workspace: decides their calls
/// with credits that it gets from the home instance.
class CallAccount {
public:
  QuotaAnswer request(framework::CallId Call, const QuotaContext &Context);
  void cancel(framework::CallId Call);
  void giveBack(const QuotaContext &Context);
  void handle(const QuotaGrant &Message, const QuotaContext &Context);
  void tick(const QuotaContext &Context);
  /// Drops the credits of a quota that was lowered.
  void dropCredits() { Credits_ = 0; }
  /// Admits all pending calls, for a workspace without a quota.
  void admitPending(const QuotaContext &Context);

  std::optional<framework::Instant> dueAt() const;
  bool isIdle(const QuotaContext &Context) const;

private:
  struct PendingCall {
    framework::CallId Call_;
    framework::Instant Since_;
  };
  struct Sent {
    framework::InstanceName Home_;
    QuotaRequest Request_;
    framework::Instant At_;
    int Tries_ = 1;
  };

  QuotaAnswer answerWithoutCredit(framework::CallId Call,
                                  const QuotaContext &Context);
  void requestCredits(const QuotaContext &Context);
  void requestAhead(const QuotaContext &Context);
  void returnExpired(const QuotaContext &Context);
  void retry(const QuotaContext &Context);
  void send(const framework::InstanceName &Home, Credits Wanted,
            Credits Returned, const QuotaContext &Context);
  void settlePending(const QuotaContext &Context);
  void refusePending(framework::Duration NextCreditIn,
                     const QuotaContext &Context);
  void decideFirstAlone(const QuotaContext &Context);
  void decideAllAlone(const QuotaContext &Context);
  bool takeReserve(const QuotaContext &Context);
  void decide(bool IsAdmitted, framework::Duration NextCreditIn,
              const QuotaContext &Context);
  void probeSuspects(const QuotaContext &Context) const;
  Credits ahead(const QuotaContext &Context) const;

  Credits Credits_ = 0;
  framework::Instant ExpiresAt_{};
  std::deque<PendingCall> Pending_;
  std::optional<Sent> Sent_;
  /// Calls without a credit are refused until then.
  framework::Instant RefuseUntil_{};
  /// True while calls are refused because no home instance answers.
  bool IsOutage_ = false;
  std::deque<framework::Instant> ReserveUses_;
  framework::Instant RequestedAt_{};
  DemandEstimate Demand_;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_INTERNAL_CALLACCOUNT_H
