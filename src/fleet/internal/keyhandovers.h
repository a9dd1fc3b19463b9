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

/// Transfers the records of keys to their new owners, part by part until each
/// is acknowledged, and receives the records that peers transfer.
class KeyHandovers {
public:
  KeyHandovers(framework::InstanceName Self, framework::Incarnation Incarnation,
               std::string Address);

  /// Starts transferring the records of all keys whose owner changed when the
  /// members changed from `Before` to those in `List`.
  void begin(const std::vector<document::PublishedInstance> &Before,
             const InstanceStore &List, KeyTable &Table,
             std::optional<framework::WallTime> KnownSince,
             framework::Instant Now);
  /// Sends the parts that are due.
  void tick(const PeerTable &Peers, framework::Instant Now, OutputList &Output);
  void handleAck(const KeyHandoverAck &Message);
  /// Stores the records in a part and acknowledges it.
  void receive(const KeyHandover &Message, KeyTable &Table,
               KeyOwnership &Ownership, OutputList &Output);
  bool isDone() const { return Outgoing_.empty(); }

private:
  struct Transfer {
    std::string Address_;
    framework::Digest Members_;
    framework::Revision ListRevision_;
    std::optional<framework::WallTime> KnownSince_;
    std::uint32_t Parts_ = 1;
    std::map<std::uint32_t, std::vector<KeyRecord>> Unacknowledged_;
    framework::Instant NextAt_{};
    framework::Instant Deadline_{};
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
