#include "entry/internal/callstatistics.h"

#include "entry/internal/durationbuckets.h"
#include "entry/internal/endingstatus.h"
#include "report/burnjson.h"

namespace cranberryspool::entry {

namespace {

constexpr std::uint32_t FirstServerErrorStatus = 500;

std::string urgencyLabel(document::Urgency Urgency) {
  return Urgency == document::Urgency::Urgent ? "urgent" : "ordinary";
}

std::map<std::string, std::string> labelsOf(const report::ObjectiveKey &Key) {
  return {{"service", Key.Service_.value()},
          {"urgency", urgencyLabel(Key.Urgency_)}};
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
                     .Register(Registry_)),
      Refusals_(prometheus::BuildCounter()
                    .Name("cranberryspool_requests_refused_total")
                    .Help("Requests refused by this instance")
                    .Register(Registry_)),
      Workspaces_(Registry_) {}

void CallStatistics::setObjectives(
    const document::EnvironmentDocument *Document) {
  Objectives_.clear();
  if (Document)
    Objectives_ = report::collectObjectives(*Document);
}

void CallStatistics::record(const decision::EndedCall &Call,
                            framework::WallTime Now) {
  const report::ObjectiveKey Key{Call.Service_, Call.Urgency_};
  counter({Key, Call.Ending_}).Increment();
  Workspaces_.record(Call);
  if (Call.Ending_ == calls::Ending::Answered)
    histogram(Key).Observe(
        std::chrono::duration<double>(Call.Elapsed_).count());
  if (!Call.IsCallerGone_ && !Call.Service_.value().empty())
    BurnCounters_.record(Key, isGood(Key, Call), Now);
}

void CallStatistics::recordRefusal(unsigned Status, std::string_view Reason) {
  Refusals_
      .Add(
          {{"status", std::to_string(Status)}, {"reason", std::string(Reason)}})
      .Increment();
}

bool CallStatistics::isGood(const report::ObjectiveKey &Key,
                            const decision::EndedCall &Call) const {
  if (Call.Ending_ != calls::Ending::Answered ||
      Call.Status_ >= FirstServerErrorStatus)
    return false;
  const auto Found = Objectives_.find(Key);
  return Found == Objectives_.end() || Call.Elapsed_ <= Found->second.Latency_;
}

std::vector<prometheus::MetricFamily> CallStatistics::collect() const {
  return Registry_.Collect();
}

prometheus::Counter &CallStatistics::counter(const EndingKey &Key) {
  prometheus::Counter *&Metric = Counters_[Key];
  if (!Metric) {
    auto Labels = labelsOf(Key.Key_);
    Labels["ending"] = std::string(nameOf(Key.Ending_));
    Metric = &Calls_.Add(Labels);
  }
  return *Metric;
}

prometheus::Histogram &
CallStatistics::histogram(const report::ObjectiveKey &Key) {
  prometheus::Histogram *&Metric = Histograms_[Key];
  if (!Metric)
    Metric = &Durations_.Add(labelsOf(Key), DurationBucketBounds);
  return *Metric;
}

} // namespace cranberryspool::entry
