#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_ENVIRONMENTKEEPER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_ENVIRONMENTKEEPER_H

#include "decision/internal/coreparts.h"
#include "decision/internal/outcomes.h"
#include "decision/internal/step.h"
#include "document/types/environmentdocument.h"
#include "document/types/publishedinstance.h"

#include <cstddef>
#include <map>
#include <vector>

namespace cranberryspool::decision {

/// Brings a new document or list into force in all parts of the core.
class EnvironmentKeeper {
public:
  EnvironmentKeeper(CoreParts &Parts, Outcomes &Results)
      : Parts_(Parts), Results_(Results) {}

  void setDocument(const Step &At,
                   const document::EnvironmentDocument &Document);
  void setInstances(const Step &At,
                    std::vector<document::PublishedInstance> Instances);
  void setStoredTargets(const Step &At,
                        std::vector<fleet::PublishedTarget> Targets);
  /// Brings this instance's shares of fleet-wide bounds up to date.
  void applyShares(const Step &At);
  /// Returns the number of services with listed targets that take work.
  std::size_t servedServices() const;
  /// Returns how many of these have a target that may get work from this
  /// instance.
  std::size_t usableServices(framework::Instant Now) const;

private:
  void apply(const Step &At);
  std::uint32_t instanceCount() const;
  void applyCapacities();
  routing::TargetLimits boundsOf(const Step &At,
                                 const routing::TargetDescription &Target);
  void applyExtraWindow();
  void placeOnRing();

  CoreParts &Parts_;
  Outcomes &Results_;
  std::map<framework::TargetId, double> RingDistances_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_ENVIRONMENTKEEPER_H
