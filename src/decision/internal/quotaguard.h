#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_QUOTAGUARD_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_QUOTAGUARD_H

#include "calls/types/call.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"
#include "fleet/peermessage.h"
#include "quotas/types/quotaverdict.h"

#include <optional>
#include <vector>

namespace cranberryspool::decision {

/// Connects the quota coordinator to the core: keeps its quotas and members up
/// to date, requests credits for calls and exchanges its messages.
class QuotaGuard {
public:
  explicit QuotaGuard(CoreState &Core) : Core_(Core) {}

  /// Sets the quotas of the document in force.
  void updateQuotas(const EventContext &Context);
  /// Sets the other running instances.
  void updateMembers();

  /// Requests a credit for a call. Calls without a workspace and forwarded
  /// calls, which the forwarding instance has counted, are admitted.
  quotas::QuotaVerdict request(const EventContext &Context, calls::Call &Call);

  /// Handles a message between coordinators. Returns false for other messages.
  bool tryHandle(const EventContext &Context,
                 const fleet::PeerMessage &Message);

  /// Returns the sender of a message about quotas that must not be handled,
  /// since the sender is not known to belong to the fleet.
  std::optional<framework::InstanceName>
  findUntrustedSender(const fleet::PeerMessage &Message) const;

  void tick(const EventContext &Context);
  framework::Instant nextWakeUp() const;
  void sendMessages(const EventContext &Context);
  /// Returns the calls whose wait for a credit has ended. Those that got one
  /// hold it.
  std::vector<framework::CallId> takeDecidedCalls();

private:
  CoreState &Core_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_QUOTAGUARD_H
