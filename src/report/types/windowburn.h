#ifndef CRANBERRYSPOOL_REPORT_TYPES_WINDOWBURN_H
#define CRANBERRYSPOOL_REPORT_TYPES_WINDOWBURN_H

#include "report/types/callcount.h"

namespace cranberryspool::report {

/// The burn over one pair of windows.
struct WindowBurn {
  CallCount Short_;
  CallCount Long_;
  double ShortRate_ = 0;
  double LongRate_ = 0;
  bool IsAlarm_ = false;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_WINDOWBURN_H
