#include "decision/internal/ringpositions.h"

#include "decision/internal/environment.h"
#include "routing/ringdistance.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace cranberryspool::decision {

RingPositions::RingPositions(const Environment &CurrentEnvironment,
                             const framework::InstanceName &Self,
                             const framework::ZoneName &OwnZone) {
  for (const document::PublishedInstance &Instance :
       CurrentEnvironment.instances()) {
    if (Instance.Group_ || Instance.IsLeaving_ || Instance.Zone_ != OwnZone)
      continue;
    ++InstanceCount_;
    if (Instance.Name_ < Self)
      ++OwnRank_;
  }
  std::vector<routing::TargetDescription> Targets =
      CurrentEnvironment.targets();
  std::sort(Targets.begin(), Targets.end(),
            [&](const auto &Left, const auto &Right) {
              return CurrentEnvironment.targetName(Left.Target_) <
                     CurrentEnvironment.targetName(Right.Target_);
            });
  for (const routing::TargetDescription &Target : Targets) {
    const Group TargetGroup{Target.Service_, Target.Zone_};
    Positions_[Target.Target_] =
        Position{.Group_ = TargetGroup, .Rank_ = GroupSizes_[TargetGroup]++};
  }
}

double RingPositions::distance(framework::TargetId Target) const {
  const Position &TargetPosition = Positions_.at(Target);
  return routing::ringDistance(OwnRank_, InstanceCount_, TargetPosition.Rank_,
                               GroupSizes_.at(TargetPosition.Group_));
}

} // namespace cranberryspool::decision
