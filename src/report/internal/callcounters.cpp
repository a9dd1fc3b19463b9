#include "report/callcounters.h"

namespace cranberryspool::report {

namespace {

using framework::Duration;
using framework::WallTime;

WallTime bucketStart(WallTime Time, Duration Width) {
  const Duration SinceEpoch = Time.time_since_epoch();
  return WallTime(SinceEpoch - SinceEpoch % Width);
}

} // namespace

void CallCounters::record(const ObjectiveKey &Key, bool IsGood, WallTime Now) {
  Series &KeySeries = SeriesByKey_[Key];
  const WallTime Start = bucketStart(Now, FineBucketWidth);
  const bool IsNew = !KeySeries.FineBuckets_.contains(Start);
  CallCount &Count = KeySeries.FineBuckets_[Start];
  if (IsGood)
    ++Count.Good_;
  else
    ++Count.Bad_;
  if (IsNew)
    compactBuckets(KeySeries, Now);
}

void CallCounters::compactBuckets(Series &KeySeries, WallTime Now) {
  while (!KeySeries.FineBuckets_.empty()) {
    const auto Oldest = KeySeries.FineBuckets_.begin();
    if (Oldest->first + FineRetention >= Now)
      break;
    KeySeries.CoarseBuckets_[bucketStart(Oldest->first, CoarseBucketWidth)] +=
        Oldest->second;
    KeySeries.FineBuckets_.erase(Oldest);
  }
  while (!KeySeries.CoarseBuckets_.empty() &&
         KeySeries.CoarseBuckets_.begin()->first + Retention < Now)
    KeySeries.CoarseBuckets_.erase(KeySeries.CoarseBuckets_.begin());
}

std::vector<CallCountBucket> CallCounters::buckets() const {
  std::vector<CallCountBucket> Result;
  for (const auto &[Key, KeySeries] : SeriesByKey_) {
    for (const auto &[Start, Count] : KeySeries.CoarseBuckets_)
      Result.push_back({Key, Start, CoarseBucketWidth, Count});
    for (const auto &[Start, Count] : KeySeries.FineBuckets_)
      Result.push_back({Key, Start, FineBucketWidth, Count});
  }
  return Result;
}

} // namespace cranberryspool::report
