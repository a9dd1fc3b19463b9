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
  Series &Counts = Series_[Key];
  const WallTime Start = bucketStart(Now, FineWidth);
  const bool IsNew = !Counts.Fine_.contains(Start);
  CallCount &Count = Counts.Fine_[Start];
  if (IsGood)
    ++Count.Good_;
  else
    ++Count.Bad_;
  if (IsNew)
    age(Counts, Now);
}

void CallCounters::age(Series &Counts, WallTime Now) {
  while (!Counts.Fine_.empty()) {
    const auto Oldest = Counts.Fine_.begin();
    if (Oldest->first + FineSpan >= Now)
      break;
    Counts.Coarse_[bucketStart(Oldest->first, CoarseWidth)] += Oldest->second;
    Counts.Fine_.erase(Oldest);
  }
  while (!Counts.Coarse_.empty() && Counts.Coarse_.begin()->first + Span < Now)
    Counts.Coarse_.erase(Counts.Coarse_.begin());
}

std::vector<BurnRow> CallCounters::buckets() const {
  std::vector<BurnRow> Rows;
  for (const auto &[Key, Counts] : Series_) {
    for (const auto &[Start, Count] : Counts.Coarse_)
      Rows.push_back({Key, Start, CoarseWidth, Count});
    for (const auto &[Start, Count] : Counts.Fine_)
      Rows.push_back({Key, Start, FineWidth, Count});
  }
  return Rows;
}

} // namespace cranberryspool::report
