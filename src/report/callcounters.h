#ifndef CRANBERRYSPOOL_REPORT_CALLCOUNTERS_H
#define CRANBERRYSPOOL_REPORT_CALLCOUNTERS_H

#include "framework/time.h"
#include "report/types/callcount.h"
#include "report/types/callcountbucket.h"
#include "report/types/objectivekey.h"

#include <chrono>
#include <map>
#include <vector>

namespace cranberryspool::report {

/// Counts the calls of one instance by service, urgency and bucket of time.
///
/// To bound the memory, calls older than `FineRetention` are merged into coarse
/// buckets, and buckets older than `Retention` are dropped. There are at most
/// 361 fine and 865 coarse buckets per key.
class CallCounters {
public:
  static constexpr framework::Duration FineBucketWidth =
      std::chrono::seconds(10);
  static constexpr framework::Duration CoarseBucketWidth =
      std::chrono::minutes(5);
  static constexpr framework::Duration FineRetention = std::chrono::hours(1);
  static constexpr framework::Duration Retention = std::chrono::hours(72);

  /// Counts one call. `IsGood` says whether it met its objective. Calls
  /// whose caller disconnected must not be recorded.
  void record(const ObjectiveKey &Key, bool IsGood, framework::WallTime Now);

  /// Returns the non-empty buckets of each key in turn, the coarse ones first,
  /// both sorted by start.
  std::vector<CallCountBucket> buckets() const;

private:
  using Buckets = std::map<framework::WallTime, CallCount>;

  struct Series {
    Buckets FineBuckets_;
    Buckets CoarseBuckets_;
  };

  /// Merges old fine buckets into coarse ones and drops expired coarse buckets.
  static void compactBuckets(Series &KeySeries, framework::WallTime Now);

  std::map<ObjectiveKey, Series> SeriesByKey_;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_CALLCOUNTERS_H
