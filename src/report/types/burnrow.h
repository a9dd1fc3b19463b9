#ifndef CRANBERRYSPOOL_REPORT_TYPES_BURNROW_H
#define CRANBERRYSPOOL_REPORT_TYPES_BURNROW_H

#include "framework/time.h"
#include "report/types/burnkey.h"
#include "report/types/callcount.h"

namespace cranberryspool::report {

/// The calls that ended in one bucket of time.
struct BurnRow {
  ObjectiveKey Key_;
  framework::WallTime Start_;
  framework::Duration Width_{};
  CallCount Count_;

  friend bool operator==(const BurnRow &, const BurnRow &) = default;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_BURNROW_H
