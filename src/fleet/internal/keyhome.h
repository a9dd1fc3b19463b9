#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_KEYHOME_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_KEYHOME_H

#include "fleet/fleetsettings.h"
#include "fleet/internal/keyhandovers.h"
#include "fleet/internal/keyownership.h"
#include "fleet/internal/keytable.h"
#include "fleet/output.h"

#include <optional>
#include <vector>

namespace cranberryspool::fleet {

/// The home's side of idempotency keys: each key is admitted once (at-most-once
/// with bounded state by clocks: Liskov, "Practical uses of synchronized clocks
/// in distributed systems", 1991).
class KeyHome {
public:
  explicit KeyHome(const FleetSettings &Settings);

  /// Must be called at each event that brings evidence or time.
  void update(const InstanceStore &List, const PeerTable &Peers,
              framework::Moment Now, OutputList &Output);

  /// Decides on a request for which this instance is the home. Returns nothing
  /// while it has just become the home and may know more within moments.
  std::optional<KeyReply> decide(const KeyRequest &Request,
                                 const PeerTable &Peers, framework::Moment Now);
  /// True for moments after a change of the members, until a majority has the
  /// new ones.
  bool isSettling(framework::Instant Now) const {
    return Ownership_.isSettling(Now);
  }
  /// Notes how an admitted call ended.
  void noteEnded(const KeyEnded &Message, framework::Moment Now);
  void receive(const KeyHandover &Message, OutputList &Output) {
    Handovers_.receive(Message, Table_, Ownership_, Output);
  }
  void noteAck(const KeyHandoverAck &Message) { Handovers_.noteAck(Message); }
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
  framework::WallTime LatestWall_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_KEYHOME_H
