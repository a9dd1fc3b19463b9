#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_ENVIRONMENTUPDATER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_ENVIRONMENTUPDATER_H

#include "capacity/types/slotallotment.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"
#include "decision/internal/transporteventhandler.h"
#include "document/types/environmentdocument.h"
#include "document/types/publishedinstance.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cranberryspool::decision {

/// Applies a new document or instance list to all parts of the core.
class EnvironmentUpdater {
public:
  EnvironmentUpdater(CoreState &Core, TransportEventHandler &Transport)
      : Core_(Core), Transport_(Transport) {}

  void setDocument(const EventContext &Context,
                   const document::EnvironmentDocument &Document);
  void setInstances(const EventContext &Context,
                    std::vector<document::PublishedInstance> Instances);
  void setStoredTargets(const EventContext &Context,
                        std::vector<fleet::PublishedTarget> Targets);
  /// Updates this instance's shares of fleet-wide limits.
  void applyShares(const EventContext &Context);
  /// Updates this instance's shares of the slots of services after a change of
  /// the demand of the peer group.
  void applySlotShares(const EventContext &Context);
  /// Passes the demand for services on to the fleet, which tells the peer
  /// group.
  void publishDemand();
  /// Returns the number of services that have a listed target that accepts
  /// work.
  std::size_t countServedServices() const;
  /// Returns the number of services that have a target to which this instance
  /// may send work.
  std::size_t countUsableServices(framework::Instant Now) const;

private:
  /// What the positions of targets on the ring and the order in which their
  /// slots are divided depend on.
  struct Placement {
    framework::TargetId Target_;
    framework::ServiceId Service_;
    framework::ZoneId Zone_;
    std::uint32_t Slots_ = 0;
    bool IsLeaving_ = false;

    bool operator==(const Placement &) const = default;
  };

  void applyToAll(const EventContext &Context);
  /// Returns the targets that have become unconfirmed since the last call.
  std::set<framework::TargetId> updateUnconfirmed();
  /// Recomputes what depends on the placements when one of them has changed.
  void updatePlacements();
  std::uint32_t instanceCount() const;
  void updateQueueCapacities();
  routing::TargetLimits computeBounds(const EventContext &Context,
                                      const routing::TargetDescription &Target);
  void updateExtraAttemptLimit(framework::Instant Now);
  /// Returns the position of this instance among those of its zone.
  fleet::ZonePosition ownPosition() const;
  void updateRingDistances();

  /// The targets of a service in the order in which all instances divide their
  /// slots.
  struct ServiceSlots {
    std::vector<framework::TargetId> Targets_;
    std::vector<std::uint32_t> Slots_;
  };

  void updateServiceSlots();
  std::optional<capacity::SlotAllotment>
  computeShare(framework::ServiceId Service, const ServiceSlots &Slots,
               framework::Instant Now) const;

  /// Where a target stands on the ring of `RingPositions`.
  struct RingPlace {
    double Distance_ = 0;
    bool IsPreferred_ = false;
  };

  CoreState &Core_;
  TransportEventHandler &Transport_;
  std::vector<Placement> Placements_;
  std::set<framework::TargetId> Unconfirmed_;
  fleet::ZonePosition RingPosition_;
  std::map<framework::TargetId, RingPlace> RingPlaces_;
  std::optional<fleet::GroupPosition> GroupPosition_;
  std::map<framework::ServiceId, ServiceSlots> ServiceSlots_;
  /// The shares in force; a service without one is limited adaptively.
  std::map<framework::ServiceId, capacity::SlotAllotment> SlotShares_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_ENVIRONMENTUPDATER_H
