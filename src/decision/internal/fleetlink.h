#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_FLEETLINK_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_FLEETLINK_H

#include "decision/internal/environmentkeeper.h"
#include "decision/internal/step.h"
#include "decision/types/events/documentpublished.h"
#include "decision/types/events/instancespublished.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::decision {

/// Joins this instance's part in the fleet to the core.
class FleetLink {
public:
  explicit FleetLink(EnvironmentKeeper &Keeper) : Keeper_(Keeper) {}

  void start(const Step &At);
  void handle(const Step &At, const DocumentPublished &Input);
  void handle(const Step &At, const InstancesPublished &Input);

  /// True when calls may be accepted.
  bool mayAccept(framework::Instant Now) const;
  /// True while new work may be sent to targets.
  bool isViewFresh(framework::Instant Now) const;

private:
  EnvironmentKeeper &Keeper_;
  std::optional<framework::Revision> Document_;
  std::optional<framework::Revision> Instances_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_FLEETLINK_H
