#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_RINGPOSITIONS_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_RINGPOSITIONS_H

#include "fleet/types/zoneposition.h"
#include "framework/ids.h"

#include <cstdint>
#include <map>
#include <utility>

namespace cranberryspool::decision {

class Environment;

/// The positions of this instance and of the targets on the ring that spreads
/// the instances over the targets of each service and availability zone.
class RingPositions {
public:
  RingPositions(const Environment &CurrentEnvironment, fleet::ZonePosition Own);

  /// Returns the ring distance between this instance and a listed target.
  double distance(framework::TargetId Target) const;
  /// Returns true when the target is one of the `Count` nearest of its service
  /// and availability zone.
  bool isAmongNearest(framework::TargetId Target, std::uint32_t Count) const;

private:
  using Group = std::pair<framework::ServiceId, framework::ZoneId>;
  struct Position {
    Group Group_;
    std::uint32_t Rank_ = 0;
  };

  fleet::ZonePosition Own_;
  std::map<Group, std::uint32_t> GroupSizes_;
  std::map<framework::TargetId, Position> Positions_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_RINGPOSITIONS_H
