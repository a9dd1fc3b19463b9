#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_KEYHANDOVERS_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_KEYHANDOVERS_H

#include "fleet/internal/instancestore.h"
#include "fleet/internal/keyownership.h"
#include "fleet/internal/keytable.h"
#include "fleet/output.h"

#include <map>
#include <set>
#include <vector>

namespace cranberryspool::fleet {

/// Gives the records of keys that moved to other homes to those, part by part
/// until each is acknowledged, and takes in what others give.
class KeyHandovers {
public:
  KeyHandovers(framework::InstanceName Self, framework::Incarnation Incarnation,
               std::string Address);

  /// The members changed from `Before` to those of the list: begins to hand
  /// over what moved away.
  void begin(const std::vector<document::PublishedInstance> &Before,
             const InstanceStore &List, KeyTable &Table,
             std::optional<framework::WallTime> Floor, framework::Instant Now);
  /// Sends what is due.
  void tick(const PeerTable &Peers, framework::Instant Now, OutputList &Output);
  void noteAck(const KeyHandoverAck &Message);
  /// Takes in a part and acknowledges it.
  void receive(const KeyHandover &Message, KeyTable &Table,
               KeyOwnership &Ownership, OutputList &Output);
  bool isDone() const { return Outgoing_.empty(); }

private:
  struct Transfer {
    std::string Address_;
    framework::Digest Members_;
    framework::Revision ListRevision_;
    std::optional<framework::WallTime> Floor_;
    std::uint32_t Parts_ = 1;
    std::map<std::uint32_t, std::vector<KeyRecord>> Waiting_;
    framework::Instant NextAt_{};
    framework::Instant GiveUpAt_{};
  };
  struct Incoming {
    framework::Incarnation Incarnation_;
    framework::Digest Members_;
    framework::Revision ListRevision_;
    std::set<std::uint32_t> Received_;
  };

  framework::InstanceName Self_;
  framework::Incarnation Incarnation_;
  std::string Address_;
  std::map<framework::InstanceName, Transfer> Outgoing_;
  std::map<framework::InstanceName, Incoming> Incoming_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_KEYHANDOVERS_H
