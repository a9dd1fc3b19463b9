#ifndef CRANBERRYSPOOL_TRIAL_INTERNAL_TRIALFLEET_H
#define CRANBERRYSPOOL_TRIAL_INTERNAL_TRIALFLEET_H

#include "framework/result.h"
#include "framework/time.h"
#include "trial/types/instanceplan.h"
#include "trial/types/trialfailure.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cranberryspool::trial {

/// The instances of a trial, each with threads of its own.
class TrialFleet {
public:
  TrialFleet();
  ~TrialFleet();

  TrialFleet(const TrialFleet &) = delete;
  TrialFleet &operator=(const TrialFleet &) = delete;

  /// Starts an instance for each plan. `PlatformAddress` is `IP:port`.
  framework::Result<void, TrialFailure>
  start(const std::vector<InstancePlan> &Plans,
        const std::string &PlatformAddress);

  /// Stops all instances and returns how many did not end cleanly.
  std::uint32_t stop();

private:
  class Member;
  std::vector<std::unique_ptr<Member>> Members_;
};

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_INTERNAL_TRIALFLEET_H
