#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_KEYADMISSION_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_KEYADMISSION_H

#include "fleet/fleetsettings.h"
#include "fleet/internal/keyhandovers.h"
#include "fleet/internal/keyownership.h"
#include "fleet/internal/keytable.h"
#include "fleet/output.h"

#include <optional>
#include <vector>

namespace cranberryspool::fleet {

/// Admits calls with idempotency keys that this instance owns, each key once.
/// Synchronized clocks bound the state that at-most-once execution needs
/// (Liskov, "Practical uses of synchronized clocks in distributed systems",
/// 1991).
class KeyAdmission {
public:
  explicit KeyAdmission(const FleetSettings &Settings);

  /// Must be called after each event that may change the list of members, the
  /// acknowledgements from peers, or the time.
  void update(const InstanceStore &List, const PeerTable &Peers,
              framework::Moment Now, OutputList &Output);

  /// Decides on a request for a key that this instance owns. Returns nothing
  /// while the instance is taking over the key and may be able to decide
  /// shortly.
  std::optional<KeyReply> decide(const KeyRequest &Request,
                                 const PeerTable &Peers, framework::Moment Now);
  /// Returns true after a change of the members, until a majority has the new
  /// list or `KeyConvergenceTime` has passed.
  bool isConverging(framework::Instant Now) const {
    return Ownership_.isConverging(Now);
  }
  /// Records how an admitted call ended.
  void handleCallEnd(const KeyEnded &Message, framework::Moment Now);
  void receive(const KeyHandover &Message, OutputList &Output) {
    Handovers_.receive(Message, Table_, Ownership_, Output);
  }
  void handleAck(const KeyHandoverAck &Message) {
    Handovers_.handleAck(Message);
  }
  bool isHandoverDone() const { return Handovers_.isDone(); }
  std::size_t keyCount() const { return Table_.size(); }

private:
  KeyReply replyFor(const KeyRecord &Record, const KeyRequest &Request,
                    const PeerTable &Peers) const;

  KeyOwnership Ownership_;
  KeyTable Table_;
  KeyHandovers Handovers_;
  framework::Digest MembersDigest_;
  std::vector<document::PublishedInstance> Members_;
  framework::WallTime LatestWallTime_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_KEYADMISSION_H
