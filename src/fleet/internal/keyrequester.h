#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_KEYREQUESTER_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_KEYREQUESTER_H

#include "calls/types/ending.h"
#include "fleet/fleetsettings.h"
#include "fleet/internal/instancestore.h"
#include "fleet/internal/keyadmission.h"
#include "fleet/output.h"

#include <map>

namespace cranberryspool::fleet {

/// The requesting side of idempotency keys: asks the owner of a key for
/// permission to run a call and reports to the owner how the call ended.
class KeyRequester {
public:
  explicit KeyRequester(const FleetSettings &Settings);

  void request(framework::CallId Call, const framework::IdempotencyKey &Key,
               const InstanceStore &List, KeyAdmission &Admission,
               const PeerTable &Peers, framework::Moment Now,
               OutputList &Output);
  void handleReply(const KeyReply &Message, const InstanceStore &List,
                   framework::Moment Now, OutputList &Output);
  void handleCallEnd(framework::CallId Call, calls::Ending Ending,
                     bool IsResponseStored, framework::Moment Now);
  void handleEndedAck(const KeyEndedAck &Message);
  void tick(const InstanceStore &List, KeyAdmission &Admission,
            const PeerTable &Peers, framework::Moment Now, OutputList &Output);
  /// Returns when `tick` must be called next.
  framework::Instant nextWakeUp() const;

private:
  struct PendingRequest {
    framework::IdempotencyKey Key_;
    framework::Instant NextAt_;
    framework::Instant Deadline_;
  };
  struct PendingReport {
    framework::IdempotencyKey Key_;
    KeyOutcome Outcome_ = KeyOutcome::ResponseUnavailable;
    framework::Instant NextAt_;
    framework::Instant Deadline_;
  };

  void handleTimeout(framework::CallId Call, framework::Instant Now,
                     OutputList &Output);
  /// Sends the request for a pending call. The call may no longer be pending
  /// afterwards, because a key owned by this instance may be decided
  /// immediately.
  void sendRequest(framework::CallId Call, const InstanceStore &List,
                   KeyAdmission &Admission, const PeerTable &Peers,
                   framework::Moment Now, OutputList &Output);
  KeyRequest makeRequest(framework::CallId Call,
                         const framework::IdempotencyKey &Key) const;
  void complete(framework::CallId Call, const KeyReply &Reply,
                const InstanceStore &List, OutputList &Output);
  void scheduleReport(framework::CallId Call,
                      const framework::IdempotencyKey &Key, KeyOutcome Outcome,
                      framework::Instant Now);
  /// Sends the pending requests that are due and times out those past their
  /// deadline.
  void tickPending(const InstanceStore &List, KeyAdmission &Admission,
                   const PeerTable &Peers, framework::Moment Now,
                   OutputList &Output);
  void tickReports(const InstanceStore &List, KeyAdmission &Admission,
                   framework::Moment Now, OutputList &Output);

  FleetSettings Settings_;
  std::map<framework::CallId, PendingRequest> Pending_;
  std::map<framework::CallId, framework::IdempotencyKey> Running_;
  std::map<framework::CallId, PendingReport> Reports_;
  std::map<framework::CallId, framework::Instant> StoredResponses_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_KEYREQUESTER_H
