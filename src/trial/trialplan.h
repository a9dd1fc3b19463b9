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

/// Derives the stand-ins, instances and calls of a trial from a document.
/// Availability zones that are out of service have targets as well.
class TrialPlan {
public:
  TrialPlan(const document::EnvironmentDocument &Document,
            std::string DocumentText, const TrialSettings &Settings);

  /// Returns the settings of the platform and of the targets.
  const standins::DeploymentSettings &deployment() const { return Deployment_; }
  const standins::CallerSettings &callers() const { return Callers_; }
  const std::vector<InstancePlan> &instances() const { return Instances_; }

private:
  /// Returns the loopback address with these last two octets and the port.
  std::string address(std::size_t ThirdOctet, std::size_t FourthOctet,
                      unsigned Port) const;
  void addInstances(const document::EnvironmentDocument &Document);
  /// Adds the targets of a service. `ServiceIndex` selects their addresses.
  void addTargets(const document::Service &Service, std::size_t ServiceIndex);
  /// Adds one stream of calls for each request kind of a service.
  void addStreams(const document::Service &Service);

  TrialSettings Settings_;
  standins::DeploymentSettings Deployment_;
  standins::CallerSettings Callers_;
  std::vector<InstancePlan> Instances_;
};

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_TRIALPLAN_H
