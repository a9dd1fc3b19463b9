#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_KEYRUNNER_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_KEYRUNNER_H

#include "calls/types/ending.h"
#include "fleet/fleetsettings.h"
#include "fleet/internal/instancestore.h"
#include "fleet/internal/keyhome.h"
#include "fleet/output.h"

#include <map>

namespace cranberryspool::fleet {

/// The side of idempotency keys that runs calls: asks the home of a key for
/// leave, and tells it how the call ended.
class KeyRunner {
public:
  explicit KeyRunner(const FleetSettings &Settings);

  void request(framework::CallId Call, const framework::IdempotencyKey &Key,
               const InstanceStore &List, KeyHome &Home, const PeerTable &Peers,
               framework::Moment Now, OutputList &Output);
  void noteReply(const KeyReply &Message, const InstanceStore &List,
                 framework::Moment Now, OutputList &Output);
  void noteEnded(framework::CallId Call, calls::Ending Ending,
                 bool IsAnswerKept, framework::Moment Now);
  void noteEndedAck(const KeyEndedAck &Message);
  void tick(const InstanceStore &List, KeyHome &Home, const PeerTable &Peers,
            framework::Moment Now, OutputList &Output);
  /// Returns when `tick` has something to do.
  framework::Instant nextWakeUp() const;

private:
  struct Pending {
    framework::IdempotencyKey Key_;
    framework::Instant NextAt_;
    framework::Instant GiveUpAt_;
  };
  struct Report {
    framework::IdempotencyKey Key_;
    KeyOutcome Outcome_ = KeyOutcome::AnswerUnavailable;
    framework::Instant NextAt_;
    framework::Instant GiveUpAt_;
  };

  void giveUp(framework::CallId Call, framework::Instant Now,
              OutputList &Output);
  /// Asks for one waiting key. The key may be decided and gone afterwards.
  void ask(framework::CallId Call, const InstanceStore &List, KeyHome &Home,
           const PeerTable &Peers, framework::Moment Now, OutputList &Output);
  KeyRequest makeRequest(framework::CallId Call,
                         const framework::IdempotencyKey &Key) const;
  void conclude(framework::CallId Call, const KeyReply &Reply,
                const InstanceStore &List, OutputList &Output);
  void report(framework::CallId Call, const framework::IdempotencyKey &Key,
              KeyOutcome Outcome, framework::Instant Now);
  /// Asks the home of each waiting key, or decides when that is this instance.
  void tickPending(const InstanceStore &List, KeyHome &Home,
                   const PeerTable &Peers, framework::Moment Now,
                   OutputList &Output);
  void tickReports(const InstanceStore &List, KeyHome &Home,
                   framework::Moment Now, OutputList &Output);

  FleetSettings Settings_;
  std::map<framework::CallId, Pending> Pending_;
  std::map<framework::CallId, framework::IdempotencyKey> Running_;
  std::map<framework::CallId, Report> Reports_;
  std::map<framework::CallId, framework::Instant> Kept_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_KEYRUNNER_H
