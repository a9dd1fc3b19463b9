#ifndef CRANBERRYSPOOL_REPORT_CALLCOUNTERS_H
#define CRANBERRYSPOOL_REPORT_CALLCOUNTERS_H

#include "framework/time.h"
#include "report/types/burnkey.h"
#include "report/types/burnrow.h"
#include "report/types/callcount.h"

#include <chrono>
#include <map>
#include <vector>

namespace cranberryspool::report {

/// Counts the calls of one instance by service, urgency and bucket of time.
///
/// Recent buckets are fine, older ones coarse, and the oldest are dropped, so
/// that the state is bounded: at most 361 fine and 865 coarse buckets a key.
class CallCounters {
public:
  static constexpr framework::Duration FineWidth = std::chrono::seconds(10);
  static constexpr framework::Duration CoarseWidth = std::chrono::minutes(5);
  static constexpr framework::Duration FineSpan = std::chrono::hours(1);
  static constexpr framework::Duration Span = std::chrono::hours(72);

  /// Counts one call. `IsGood` says whether it met its objective; calls whose
  /// caller went away are not to be counted.
  void record(const ObjectiveKey &Key, bool IsGood, framework::WallTime Now);

  /// Returns the buckets with calls, sorted by key and start.
  std::vector<BurnRow> buckets() const;

private:
  using Buckets = std::map<framework::WallTime, CallCount>;

  struct Series {
    Buckets Fine_;
    Buckets Coarse_;
  };

  static void age(Series &Counts, framework::WallTime Now);

  std::map<ObjectiveKey, Series> Series_;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_CALLCOUNTERS_H
