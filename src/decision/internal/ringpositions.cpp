#include "decision/internal/ringpositions.h"

#include "decision/internal/environment.h"
#include "routing/ringdistance.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace cranberryspool::decision {

RingPlaces::RingPlaces(const Environment &World,
                       const framework::InstanceName &Self,
                       const framework::ZoneName &OwnZone) {
  for (const document::PublishedInstance &Instance : World.instances()) {
    if (Instance.Group_ || Instance.IsLeaving_ || Instance.Zone_ != OwnZone)
      continue;
    ++Instances_;
    if (Instance.Name_ < Self)
      ++OwnRank_;
  }
  std::vector<routing::TargetDescription> Targets = World.targets();
  std::sort(
      Targets.begin(), Targets.end(), [&](const auto &Left, const auto &Right) {
        return World.targetName(Left.Target_) < World.targetName(Right.Target_);
      });
  for (const routing::TargetDescription &Target : Targets) {
    const Group Own{Target.Service_, Target.Zone_};
    Places_[Target.Target_] = Place{.Group_ = Own, .Rank_ = GroupSizes_[Own]++};
  }
}

double RingPlaces::distance(framework::TargetId Target) const {
  const Place &Own = Places_.at(Target);
  return routing::ringDistance(OwnRank_, Instances_, Own.Rank_,
                               GroupSizes_.at(Own.Group_));
}

} // namespace cranberryspool::decision
