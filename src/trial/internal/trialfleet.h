#ifndef CRANBERRYSPOOL_TRIAL_INTERNAL_TRIALFLEET_H
#define CRANBERRYSPOOL_TRIAL_INTERNAL_TRIALFLEET_H

#include "framework/result.h"
#include "framework/time.h"
#include "trial/types/instanceplan.h"
#include "trial/types/trialerror.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cranberryspool::trial {

/// The entry instances of a trial, each with its own threads.
class TrialFleet {
public:
  TrialFleet();
  ~TrialFleet();

  TrialFleet(const TrialFleet &) = delete;
  TrialFleet &operator=(const TrialFleet &) = delete;

  /// Starts an instance for each plan. `PlatformAddress` has the form
  /// `IP:port`. If an instance does not start, those started before it keep
  /// running.
  framework::Result<void, TrialError>
  start(const std::vector<InstancePlan> &Plans,
        const std::string &PlatformAddress);

  /// Stops all instances and returns how many did not shut down cleanly.
  std::uint32_t stop();

private:
  class RunningInstance;
  std::vector<std::unique_ptr<RunningInstance>> Instances_;
};

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_INTERNAL_TRIALFLEET_H
