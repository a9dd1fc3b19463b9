#ifndef CRANBERRYSPOOL_REPORT_TYPES_BURNINPUT_H
#define CRANBERRYSPOOL_REPORT_TYPES_BURNINPUT_H

#include "document/types/objective.h"
#include "report/types/burnkey.h"
#include "report/types/burnrow.h"

#include <map>
#include <vector>

namespace cranberryspool::report {

/// What one or several instances know of their service-level objectives.
struct BurnInput {
  std::map<ObjectiveKey, document::Objective> Objectives_;
  std::vector<BurnRow> Rows_;

  friend bool operator==(const BurnInput &, const BurnInput &) = default;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_BURNINPUT_H
