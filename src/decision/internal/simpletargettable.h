#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_SIMPLETARGETTABLE_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_SIMPLETARGETTABLE_H

#include "framework/ids.h"
#include "framework/time.h"
#include "routing/types/attemptresult.h"
#include "routing/types/choicerequest.h"
#include "routing/types/loadreport.h"
#include "routing/types/targetbounds.h"
#include "routing/types/targetdescription.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace cranberryspool::decision {

/// Chooses the target with the fewest attempts of this instance in flight.
class SimpleTargetTable {
public:
  void setTargets(const std::vector<routing::TargetDescription> &Targets,
                  framework::Instant) {
    Targets_ = Targets;
  }
  void setBounds(framework::TargetId Target, routing::TargetBounds Bounds) {
    Bounds_[Target] = Bounds;
  }
  std::optional<framework::TargetId>
  choose(const routing::ChoiceRequest &Request, framework::Instant) {
    std::optional<framework::TargetId> Best;
    for (const routing::TargetDescription &Target : Targets_) {
      if (Target.Service_ != Request.Service_ || Target.IsLeaving_)
        continue;
      if (std::count(Request.Excluded_.begin(), Request.Excluded_.end(),
                     Target.Target_))
        continue;
      if (InFlight_[Target.Target_] >= Bounds_[Target.Target_].MaxConnections_)
        continue;
      if (!Best || InFlight_[Target.Target_] < InFlight_[*Best])
        Best = Target.Target_;
    }
    return Best;
  }
  void noteSent(framework::TargetId Target, framework::Instant) {
    ++InFlight_[Target];
  }
  void noteEnded(framework::TargetId Target, routing::AttemptResult,
                 framework::Duration, framework::Instant) {
    --InFlight_[Target];
  }
  void noteReport(framework::TargetId, routing::LoadReport,
                  framework::Instant) {}
  bool noteStart(framework::TargetId, framework::Incarnation,
                 framework::Instant) {
    return false;
  }
  std::uint32_t inFlight(framework::TargetId Target) {
    return InFlight_[Target];
  }

private:
  std::vector<routing::TargetDescription> Targets_;
  std::map<framework::TargetId, routing::TargetBounds> Bounds_;
  std::map<framework::TargetId, std::uint32_t> InFlight_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_SIMPLETARGETTABLE_H
