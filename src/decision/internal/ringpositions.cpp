#include "decision/internal/ringpositions.h"

#include "decision/internal/environment.h"
#include "routing/ringdistance.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace cranberryspool::decision {

RingPositions::RingPositions(const Environment &CurrentEnvironment,
                             fleet::ZonePosition Own)
    : Own_(Own) {
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
  return routing::ringDistance(Own_.Rank_, Own_.Instances_,
                               TargetPosition.Rank_,
                               GroupSizes_.at(TargetPosition.Group_));
}

bool RingPositions::isAmongNearest(framework::TargetId Target,
                                   std::uint32_t Count) const {
  const std::uint32_t Size = GroupSizes_.at(Positions_.at(Target).Group_);
  return distance(Target) * Size * 2 <= Count;
}

} // namespace cranberryspool::decision
