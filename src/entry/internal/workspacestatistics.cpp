#include "entry/internal/workspacestatistics.h"

#include "calls/endingnames.h"
#include "entry/internal/durationbuckets.h"

#include <chrono>

namespace cranberryspool::entry {

namespace {

using calls::EndingReason;

/// Returns the ending, or the reason where the call was refused because of its
/// workspace's key or quota.
std::string outcomeOf(const decision::EndedCall &Call) {
  const bool IsRefusedToWorkspace =
      Call.Ending_ == calls::Ending::NotRun &&
      (Call.Reason_ == EndingReason::OverQuota ||
       Call.Reason_ == EndingReason::Unauthenticated ||
       Call.Reason_ == EndingReason::AccessUnconfirmed);
  return std::string(IsRefusedToWorkspace ? calls::nameOf(Call.Reason_)
                                          : calls::nameOf(Call.Ending_));
}

} // namespace

void WorkspaceStatistics::record(const decision::EndedCall &Call) {
  if (Call.Workspace_.value().empty())
    return;
  registerFamilies();
  const std::string Label = labelFor(Call.Workspace_);
  counter(Label, outcomeOf(Call)).Increment();
  if (Call.Ending_ == calls::Ending::Answered)
    histogram(Label).Observe(
        std::chrono::duration<double>(Call.Elapsed_).count());
}

void WorkspaceStatistics::registerFamilies() {
  if (Calls_)
    return;
  Calls_ = &prometheus::BuildCounter()
                .Name("cranberryspool_workspace_calls_total")
                .Help("Calls of workspaces by outcome")
                .Register(Registry_);
  Durations_ =
      &prometheus::BuildHistogram()
           .Name("cranberryspool_workspace_call_duration_seconds")
           .Help("From the arrival of a workspace's request to the answer")
           .Register(Registry_);
}

std::string
WorkspaceStatistics::labelFor(const framework::WorkspaceName &Workspace) const {
  const bool HasLabel = MetricsByLabel_.contains(Workspace.value());
  const std::size_t Labels =
      MetricsByLabel_.size() - MetricsByLabel_.count(OtherWorkspaces);
  return HasLabel || Labels < MaxWorkspaces ? Workspace.value()
                                            : OtherWorkspaces;
}

prometheus::Counter &WorkspaceStatistics::counter(const std::string &Label,
                                                  const std::string &Outcome) {
  prometheus::Counter *&Metric =
      MetricsByLabel_[Label].CallsByOutcome_[Outcome];
  if (!Metric)
    Metric = &Calls_->Add({{"workspace", Label}, {"outcome", Outcome}});
  return *Metric;
}

prometheus::Histogram &
WorkspaceStatistics::histogram(const std::string &Label) {
  prometheus::Histogram *&Metric = MetricsByLabel_[Label].Durations_;
  if (!Metric)
    Metric = &Durations_->Add({{"workspace", Label}}, DurationBucketBounds);
  return *Metric;
}

} // namespace cranberryspool::entry
