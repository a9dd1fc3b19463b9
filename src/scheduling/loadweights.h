#ifndef CRANBERRYSPOOL_SCHEDULING_LOADWEIGHTS_H
#define CRANBERRYSPOOL_SCHEDULING_LOADWEIGHTS_H

#include "framework/time.h"
#include "scheduling/types/flowid.h"

#include <map>

namespace cranberryspool::scheduling {

/// The weights by which flows share a service that is short of capacity.
///
/// The fair share of a flow is its usual load, but not less than the mean load
/// of all flows, and not less than a third of its present load: a flow that
/// sends many times its usual load waits behind the others, and is still served
/// at least a third as often as they are.
class LoadWeights {
public:
  /// Records a call of the flow and returns the cost of one of its calls: the
  /// inverse of its weight, as a multiple of that of a flow with the mean load.
  /// In (0, 1].
  double recordCall(FlowId Flow, framework::Instant Now);

  /// Returns whether a call was recorded within the memory of usual loads.
  bool empty() const { return Loads_.empty(); }
  std::size_t size() const { return Loads_.size(); }

private:
  /// Calls counted with exponential decay.
  struct Load {
    double Usual_ = 0;
    double Present_ = 0;
    framework::Instant RecordedAt_{};
  };

  void decay(Load &Counted, framework::Instant Now) const;
  void forgetIdle(framework::Instant Now);

  std::map<FlowId, Load> Loads_;
  Load Total_;
  framework::Instant ForgottenAt_{};
};

} // namespace cranberryspool::scheduling

#endif // CRANBERRYSPOOL_SCHEDULING_LOADWEIGHTS_H
