#ifndef CRANBERRYSPOOL_REPORT_COMPUTEBURN_H
#define CRANBERRYSPOOL_REPORT_COMPUTEBURN_H

#include "framework/time.h"
#include "report/types/burninput.h"
#include "report/types/burnreport.h"

#include <cstdint>

namespace cranberryspool::report {

/// Judges each objective by its burn rate over several windows that end now. A
/// bucket counts in a window when any part of it lies inside.
BurnReport computeBurnReport(const BurnInput &Input, framework::WallTime Now);

/// Returns the rate at which the calls use up the error budget of an objective
/// given in parts per million; 0 without calls.
double burnRate(const CallCount &Count, std::uint32_t GoodPerMillion);

/// Returns the end of the latest bucket, or the epoch without buckets.
framework::WallTime latestBucketEnd(const BurnInput &Input);

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_COMPUTEBURN_H
