#ifndef CRANBERRYSPOOL_REPORT_TYPES_BURNINPUT_H
#define CRANBERRYSPOOL_REPORT_TYPES_BURNINPUT_H

#include "document/types/objective.h"
#include "report/types/callcountbucket.h"
#include "report/types/objectivekey.h"

#include <map>
#include <vector>

namespace cranberryspool::report {

/// The service-level objectives and call counts of one or more instances, from
/// which the burn report is computed.
struct BurnInput {
  std::map<ObjectiveKey, document::Objective> Objectives_;
  std::vector<CallCountBucket> Buckets_;

  friend bool operator==(const BurnInput &, const BurnInput &) = default;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_BURNINPUT_H
