#ifndef CRANBERRYSPOOL_QUOTAS_INTERNAL_CREDITPOOL_H
#define CRANBERRYSPOOL_QUOTAS_INTERNAL_CREDITPOOL_H

#include "framework/ids.h"
#include "framework/time.h"
#include "quotas/internal/credits.h"
#include "quotas/internal/demandestimate.h"
#include "quotas/types/quotagrant.h"
#include "quotas/types/quotarequest.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace cranberryspool::quotas {

struct QuotaContext;

/// The home instance's part for one workspace: collects credits from the
/// shareholders and grants them to the instances that ask.
class CreditPool {
public:
  explicit CreditPool(const QuotaContext &Context);

  /// Answers a request of an instance, now or within `HomeTimeout`.
  void handle(const QuotaRequest &Message, const QuotaContext &Context);
  /// Handles the answer of a shareholder.
  void handle(const QuotaGrant &Message, const QuotaContext &Context);
  void tick(const QuotaContext &Context);
  /// Limits the content after the quota changed.
  void adjust(const QuotaContext &Context);

  std::optional<framework::Instant> dueAt() const;
  /// Forgets requesters that no longer ask. Returns true if the state is not
  /// needed any more.
  bool isIdle(const QuotaContext &Context);

private:
  struct Requester {
    framework::Incarnation Incarnation_;
    std::uint64_t Sequence_ = 0;
    Credits Wanted_ = 0;
    bool IsWaiting_ = false;
    framework::Instant At_{};
    /// Repeated when the request is repeated.
    QuotaGrant Answer_;
  };
  struct Collection {
    framework::InstanceName Holder_;
    QuotaRequest Request_;
    /// False for a shareholder that is only asked whether it answers again.
    bool IsAwaited_ = false;
  };

  void refill(const QuotaContext &Context);
  void serve(const QuotaContext &Context);
  bool mayWait(const Requester &First, const QuotaContext &Context) const;
  void answer(Requester &To, const framework::InstanceName &Name,
              const QuotaContext &Context);
  framework::Duration nextCreditIn(const QuotaContext &Context) const;
  Credits available() const { return std::min(Collected_, Limiter_); }
  Credits missing(const QuotaContext &Context) const;
  void startCollecting(Credits Amount, const QuotaContext &Context);
  bool isCollecting() const;
  void giveUpOn(const QuotaContext &Context);
  void finishCollecting(const QuotaContext &Context);

  std::map<framework::InstanceName, Requester> Requesters_;
  std::deque<framework::InstanceName> Waiting_;
  std::vector<Collection> Collections_;
  framework::Instant CollectedAt_{};
  framework::Instant NextCollectionAt_{};
  int Tries_ = 0;
  /// Shareholders that answered in this collection, and those of them that gave
  /// all that was requested.
  std::size_t AnswerCount_ = 0;
  std::size_t FullAnswerCount_ = 0;
  Credits Collected_ = 0;
  /// Limits what is granted to the rate; the shares issue somewhat more.
  Credits Limiter_;
  framework::Instant RefilledAt_;
  framework::Instant RequestedAt_;
  DemandEstimate Demand_;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_INTERNAL_CREDITPOOL_H
