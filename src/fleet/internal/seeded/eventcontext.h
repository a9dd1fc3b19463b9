#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_EVENTCONTEXT_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_EVENTCONTEXT_H

#include "fleet/internal/seeded/membership.h"
#include "fleet/internal/seeded/peergroup.h"
#include "fleet/output.h"
#include "framework/time.h"

namespace cranberryspool::fleet {

/// The time, the other members and the outputs, passed to the parts of a
/// `SeededFleet` while it handles one event. Valid during that event only.
struct EventContext {
  framework::Instant Now_;
  framework::WallTime Wall_;
  const Membership &Membership_;
  const PeerGroup &Group_;
  OutputList &Output_;

  const MemberInfo &self() const { return Membership_.self(); }
  bool isGroupLeader() const {
    return Group_.isGroupLeader(self().Name_, Now_);
  }
  bool isZoneLeader() const { return Group_.isZoneLeader(self().Name_, Now_); }
  /// Estimates the number of peer groups in the whole fleet.
  std::size_t estimatedGroupCount() const {
    return (Membership_.knownCount() + PeerGroup::MaxSize - 1) /
           PeerGroup::MaxSize;
  }
  void sendToGroup(const PeerMessage &Message) const {
    for (const auto &[Name, Address] : Group_.addresses())
      Output_.push_back(SendMessage{Address, Message});
  }
  void sendTo(const std::vector<std::string> &Addresses,
              const PeerMessage &Message,
              Transport Via = Transport::Datagram) const {
    for (const std::string &Address : Addresses)
      Output_.push_back(SendMessage{Address, Message, Via});
  }
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_EVENTCONTEXT_H
