#ifndef CRANBERRYSPOOL_TRIAL_DOCUMENTTRIAL_H
#define CRANBERRYSPOOL_TRIAL_DOCUMENTTRIAL_H

#include "document/types/environmentdocument.h"
#include "framework/result.h"
#include "trial/types/trialerror.h"
#include "trial/types/trialreport.h"
#include "trial/types/trialsettings.h"

#include <string>

namespace cranberryspool::trial {

/// A trial of an environment document on a small fleet in this process. The
/// fleet has real entry instances; the platform, the targets and the callers
/// are stand-ins.
class DocumentTrial {
public:
  DocumentTrial(document::EnvironmentDocument Document,
                std::string DocumentText, TrialSettings Settings);

  /// Starts the fleet, waits until its instances know each other, offers load
  /// to every request kind, and stops the fleet. Takes the duration of the load
  /// plus the convergence time and a few seconds for start and stop.
  framework::Result<TrialReport, TrialError> run();

private:
  document::EnvironmentDocument Document_;
  std::string DocumentText_;
  TrialSettings Settings_;
};

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_DOCUMENTTRIAL_H
