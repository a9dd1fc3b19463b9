#ifndef CRANBERRYSPOOL_REPORT_COMPUTEBURN_H
#define CRANBERRYSPOOL_REPORT_COMPUTEBURN_H

#include "framework/time.h"
#include "report/types/burninput.h"
#include "report/types/burnreport.h"

#include <cstdint>

namespace cranberryspool::report {

/// Evaluates all `BurnAlertRules` for each objective over windows that end at
/// `Now`. A bucket belongs to a window if any part of it lies inside.
BurnReport computeBurnReport(const BurnInput &Input, framework::WallTime Now);

/// Returns the share of bad calls divided by the share that the objective
/// allows, or 0 without calls. `GoodPerMillion` is the objective's share of
/// good calls in parts per million, less than a million.
double burnRate(const CallCount &Count, std::uint32_t GoodPerMillion);

/// Returns the end of the latest bucket, or the epoch if there are no buckets.
framework::WallTime latestBucketEnd(const BurnInput &Input);

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_COMPUTEBURN_H
