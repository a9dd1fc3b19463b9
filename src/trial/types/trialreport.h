#ifndef CRANBERRYSPOOL_TRIAL_TYPES_TRIALREPORT_H
#define CRANBERRYSPOOL_TRIAL_TYPES_TRIALREPORT_H

#include "framework/ids.h"
#include "trial/types/kindresult.h"

#include <vector>

namespace cranberryspool::trial {

/// The results of a trial of a document.
struct TrialReport {
  /// The digest of the document under trial. Instances in production report the
  /// same digest for the same document.
  framework::Digest Digest_;
  std::vector<KindResult> Kinds_;
  /// The number of instances that did not shut down cleanly on request.
  std::uint32_t UncleanStops_ = 0;
};

/// Returns true if the document may be promoted: every request kind was called,
/// no call failed or ran twice, and all instances shut down cleanly.
bool isPromotable(const TrialReport &Report);

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_TYPES_TRIALREPORT_H
