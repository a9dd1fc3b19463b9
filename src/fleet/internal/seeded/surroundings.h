#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_SURROUNDINGS_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_SURROUNDINGS_H

#include "fleet/internal/seeded/members.h"
#include "fleet/internal/seeded/neighbours.h"
#include "fleet/output.h"
#include "framework/time.h"

namespace cranberryspool::fleet {

/// What a part of the fleet member sees of the others in one step. Valid
/// during that step.
struct Surroundings {
  framework::Instant Now_;
  framework::WallTime Wall_;
  const Members &Members_;
  const Neighbours &Neighbours_;
  OutputList &Output_;

  const MemberInfo &self() const { return Members_.self(); }
  bool isTeller() const { return Neighbours_.isTeller(self().Name_, Now_); }
  bool isZoneReader() const {
    return Neighbours_.isZoneReader(self().Name_, Now_);
  }
  /// The groups of neighbours in the fleet, about.
  std::size_t groups() const {
    return (Members_.peak() + Neighbours::MaxSize - 1) / Neighbours::MaxSize;
  }
  void sendToNeighbours(const PeerMessage &Message) const {
    for (const auto &[Name, Address] : Neighbours_.addresses())
      Output_.push_back(SendMessage{Address, Message});
  }
  void sendTo(const std::vector<std::string> &Addresses,
              const PeerMessage &Message) const {
    for (const std::string &Address : Addresses)
      Output_.push_back(SendMessage{Address, Message});
  }
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_SURROUNDINGS_H
