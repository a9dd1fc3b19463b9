#ifndef CRANBERRYSPOOL_TRIAL_TYPES_INSTANCEPLAN_H
#define CRANBERRYSPOOL_TRIAL_TYPES_INSTANCEPLAN_H

#include <string>

namespace cranberryspool::trial {

/// The addresses of one instance of a trial.
struct InstancePlan {
  std::string Name_;
  std::string Zone_;
  std::string Caller_;
  std::string Peer_;
  std::string Operator_;
};

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_TYPES_INSTANCEPLAN_H
