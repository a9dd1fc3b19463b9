#ifndef CRANBERRYSPOOL_TRIAL_TYPES_INSTANCEPLAN_H
#define CRANBERRYSPOOL_TRIAL_TYPES_INSTANCEPLAN_H

#include <string>

namespace cranberryspool::trial {

/// The name, the availability zone and the listen addresses of one entry
/// instance of a trial. Addresses have the form `IP:port`.
struct InstancePlan {
  std::string Name_;
  std::string Zone_;
  std::string CallerAddress_;
  std::string PeerAddress_;
  std::string OperatorAddress_;
};

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_TYPES_INSTANCEPLAN_H
