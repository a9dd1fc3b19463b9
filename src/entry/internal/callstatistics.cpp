#include "entry/internal/callstatistics.h"

#include "entry/internal/endingstatus.h"
#include "report/burnjson.h"

namespace cranberryspool::entry {

namespace {

constexpr std::uint32_t FirstServerError = 500;

/// Upper bounds in seconds.
const prometheus::Histogram::BucketBoundaries DurationBounds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

std::string textOf(document::Urgency Urgency) {
  return Urgency == document::Urgency::Urgent ? "urgent" : "ordinary";
}

std::map<std::string, std::string> labelsOf(const report::ObjectiveKey &Key) {
  return {{"service", Key.Service_.value()}, {"urgency", textOf(Key.Urgency_)}};
}

} // namespace

CallStatistics::CallStatistics()
    : Calls_(prometheus::BuildCounter()
                 .Name("cranberryspool_calls_total")
                 .Help("Calls by the way in which they ended")
                 .Register(Registry_)),
      Durations_(prometheus::BuildHistogram()
                     .Name("cranberryspool_call_duration_seconds")
                     .Help("From the arrival of the request to the answer")
                     .Register(Registry_)) {}

void CallStatistics::setObjectives(
    const document::EnvironmentDocument *Document) {
  Objectives_.clear();
  if (Document)
    Objectives_ = report::collectObjectives(*Document);
}

void CallStatistics::note(const decision::EndedCall &Call,
                          framework::WallTime Now) {
  const report::ObjectiveKey Key{Call.Service_, Call.Urgency_};
  counter({Key, Call.Ending_}).Increment();
  if (Call.Ending_ == calls::Ending::Answered)
    histogram(Key).Observe(
        std::chrono::duration<double>(Call.Elapsed_).count());
  if (!Call.IsCallerGone_ && !Call.Service_.value().empty())
    Burn_.record(Key, isGood(Key, Call), Now);
}

bool CallStatistics::isGood(const report::ObjectiveKey &Key,
                            const decision::EndedCall &Call) const {
  if (Call.Ending_ != calls::Ending::Answered ||
      Call.Status_ >= FirstServerError)
    return false;
  const auto Position = Objectives_.find(Key);
  return Position == Objectives_.end() ||
         Call.Elapsed_ <= Position->second.Latency_;
}

std::vector<prometheus::MetricFamily> CallStatistics::collect() const {
  return Registry_.Collect();
}

prometheus::Counter &CallStatistics::counter(const EndingKey &Key) {
  prometheus::Counter *&Known = Counters_[Key];
  if (!Known) {
    auto Labels = labelsOf(Key.Key_);
    Labels["ending"] = std::string(nameOf(Key.Ending_));
    Known = &Calls_.Add(Labels);
  }
  return *Known;
}

prometheus::Histogram &
CallStatistics::histogram(const report::ObjectiveKey &Key) {
  prometheus::Histogram *&Known = Histograms_[Key];
  if (!Known)
    Known = &Durations_.Add(labelsOf(Key), DurationBounds);
  return *Known;
}

} // namespace cranberryspool::entry
