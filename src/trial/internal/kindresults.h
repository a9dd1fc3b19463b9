#ifndef CRANBERRYSPOOL_TRIAL_INTERNAL_KINDRESULTS_H
#define CRANBERRYSPOOL_TRIAL_INTERNAL_KINDRESULTS_H

#include "document/types/environmentdocument.h"
#include "standins/callrecord.h"
#include "standins/runrecord.h"
#include "trial/types/kindresult.h"

#include <vector>

namespace cranberryspool::trial {

/// Aggregates the records of calls into one result for each request kind, in
/// the order of the document. The stream number of a record is the index of its
/// kind in that order.
std::vector<KindResult>
makeKindResults(const document::EnvironmentDocument &Document,
                const std::vector<standins::CallRecord> &Records,
                const standins::RunRecord &Runs);

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_INTERNAL_KINDRESULTS_H
