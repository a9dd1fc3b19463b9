#ifndef CRANBERRYSPOOL_TRIAL_TRIALPLAN_H
#define CRANBERRYSPOOL_TRIAL_TRIALPLAN_H

#include "document/types/environmentdocument.h"
#include "standins/callersettings.h"
#include "standins/deploymentsettings.h"
#include "trial/types/instanceplan.h"
#include "trial/types/trialsettings.h"

#include <cstddef>
#include <string>
#include <vector>

namespace cranberryspool::trial {

/// Works out from a document which stand-ins, instances and calls a trial of
/// it needs. Availability zones that are out get targets as well.
class TrialPlan {
public:
  TrialPlan(const document::EnvironmentDocument &Document, std::string Text,
            const TrialSettings &Settings);

  const standins::DeploymentSettings &deployment() const { return Behind_; }
  const standins::CallerSettings &callers() const { return Callers_; }
  const std::vector<InstancePlan> &instances() const { return Instances_; }

private:
  std::string address(std::size_t Third, std::size_t Fourth,
                      unsigned Port) const;
  void planInstances(const document::EnvironmentDocument &Document);
  void planTargets(const document::Service &Service, std::size_t Position);
  void planStreams(const document::Service &Service);

  TrialSettings Settings_;
  standins::DeploymentSettings Behind_;
  standins::CallerSettings Callers_;
  std::vector<InstancePlan> Instances_;
};

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_TRIALPLAN_H
