#ifndef CRANBERRYSPOOL_TRIAL_DOCUMENTTRIAL_H
#define CRANBERRYSPOOL_TRIAL_DOCUMENTTRIAL_H

#include "document/types/environmentdocument.h"
#include "framework/result.h"
#include "trial/types/trialfailure.h"
#include "trial/types/trialreport.h"
#include "trial/types/trialsettings.h"

#include <string>

namespace cranberryspool::trial {

/// Runs a document on a small fleet of instances and stand-ins in this process.
class DocumentTrial {
public:
  DocumentTrial(document::EnvironmentDocument Document, std::string Text,
                TrialSettings Settings);

  /// Starts the fleet, waits until it has settled, offers load to every kind of
  /// request, and stops the fleet. Takes the length of the load, the settling
  /// time and some seconds more.
  framework::Result<TrialReport, TrialFailure> run();

private:
  document::EnvironmentDocument Document_;
  std::string Text_;
  TrialSettings Settings_;
};

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_DOCUMENTTRIAL_H
