#ifndef CRANBERRYSPOOL_TRIAL_TYPES_TRIALREPORT_H
#define CRANBERRYSPOOL_TRIAL_TYPES_TRIALREPORT_H

#include "framework/ids.h"
#include "trial/types/kindresult.h"

#include <vector>

namespace cranberryspool::trial {

/// The outcome of a trial of a document.
struct TrialReport {
  /// The digest of the document that was tried; production shows the same.
  framework::Digest Digest_;
  std::vector<KindResult> Kinds_;
  /// Instances that did not end cleanly when they were asked to stop.
  std::uint32_t UncleanStops_ = 0;
};

/// Returns true when every kind was called and nothing was lost or run twice:
/// the document may be promoted.
bool isPromotable(const TrialReport &Report);

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_TYPES_TRIALREPORT_H
