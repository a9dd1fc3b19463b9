#include "trial/internal/kindresults.h"

#include <algorithm>

namespace cranberryspool::trial {

namespace {

constexpr unsigned StatusOk = 200;

/// Returns the quantile of sorted durations, or zero if there are none.
framework::Duration quantile(const std::vector<framework::Duration> &Sorted,
                             double Fraction) {
  if (Sorted.empty())
    return framework::Duration(0);
  const auto Index =
      static_cast<std::size_t>(Fraction * static_cast<double>(Sorted.size()));
  return Sorted[std::min(Index, Sorted.size() - 1)];
}

KindResult makeResult(const document::Service &Service,
                      const document::RequestKind &Kind,
                      std::size_t StreamIndex,
                      const std::vector<standins::CallRecord> &Records,
                      const standins::RunRecord &Runs) {
  KindResult Result;
  Result.Service_ = Service.Name_;
  Result.Kind_ = Kind.Name_;
  std::vector<framework::Duration> Latencies;
  for (const standins::CallRecord &Record : Records) {
    if (Record.Stream_ != StreamIndex)
      continue;
    ++Result.Calls_;
    if (!Kind.IsIdempotent_ && Runs.runCount(Record.Call_) > 1)
      ++Result.RunTwice_;
    if (Record.Ending_ != "answered" || Record.Status_ != StatusOk) {
      ++Result.Failed_;
      continue;
    }
    ++Result.Answered_;
    Latencies.push_back(Record.Latency_);
  }
  std::sort(Latencies.begin(), Latencies.end());
  Result.P50_ = quantile(Latencies, 0.5);
  Result.P99_ = quantile(Latencies, 0.99);
  return Result;
}

} // namespace

std::vector<KindResult>
makeKindResults(const document::EnvironmentDocument &Document,
                const std::vector<standins::CallRecord> &Records,
                const standins::RunRecord &Runs) {
  std::vector<KindResult> Results;
  for (const document::Service &Service : Document.Services_)
    for (const document::RequestKind &Kind : Service.Kinds_)
      Results.push_back(
          makeResult(Service, Kind, Results.size(), Records, Runs));
  return Results;
}

} // namespace cranberryspool::trial
