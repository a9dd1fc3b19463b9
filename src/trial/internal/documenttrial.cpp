#include "trial/documenttrial.h"

#include "document/sections.h"
#include "standins/callerstandin.h"
#include "standins/deployment.h"
#include "trial/internal/kindresults.h"
#include "trial/internal/trialfleet.h"
#include "trial/trialplan.h"

#include <utility>

namespace cranberryspool::trial {

namespace {

constexpr framework::Duration PollInterval = std::chrono::milliseconds(20);
constexpr framework::Duration ReadyTimeout = std::chrono::seconds(30);
/// Instances know each other after the lag of the list of instances plus a few
/// heartbeats; this margin covers the heartbeats.
constexpr framework::Duration ConvergenceMargin = std::chrono::seconds(2);
/// Outlasts the calls that are in progress at the end of the load: a caller
/// abandons a call some time after its deadline.
constexpr framework::Duration FinishTimeout = std::chrono::seconds(60);

/// Runs the stand-ins until `IsDone` returns true or the time-out expires.
/// Returns whether `IsDone` returned true in time.
template <typename Condition>
bool runUntil(boost::asio::io_context &Context, framework::Duration Timeout,
              Condition IsDone) {
  const auto Deadline = std::chrono::steady_clock::now() + Timeout;
  while (!IsDone()) {
    if (std::chrono::steady_clock::now() >= Deadline)
      return false;
    Context.run_for(PollInterval);
  }
  return true;
}

} // namespace

DocumentTrial::DocumentTrial(document::EnvironmentDocument Document,
                             std::string DocumentText, TrialSettings Settings)
    : Document_(std::move(Document)), DocumentText_(std::move(DocumentText)),
      Settings_(Settings) {}

framework::Result<TrialReport, TrialError> DocumentTrial::run() {
  const TrialPlan Plan(Document_, DocumentText_, Settings_);
  boost::asio::io_context Context(1);
  framework::Random Rng(Settings_.Seed_);
  standins::Deployment Deployment(Context, Plan.deployment(), Rng);
  TrialFleet Fleet;
  const auto StartResult =
      Fleet.start(Plan.instances(), Plan.deployment().PlatformAddress_);
  if (!StartResult)
    return StartResult.error();
  standins::CallerStandin Callers(Context, Plan.callers());
  const bool IsReady = runUntil(Context, ReadyTimeout, [&Callers] {
    return Callers.readyCount() == Callers.settings().Instances_.size();
  });
  if (!IsReady)
    return TrialError{TrialError::Kind::InstanceNotReady, {}};
  Context.run_for(Document_.ListLag_ + ConvergenceMargin);
  Callers.start();
  Context.run_for(Settings_.LoadDuration_);
  Callers.stopArrivals();
  runUntil(Context, FinishTimeout,
           [&Callers] { return Callers.inFlightCallCount() == 0; });
  TrialReport Report;
  Report.Digest_ = document::documentDigest(Document_);
  Report.Kinds_ =
      makeKindResults(Document_, Callers.records(), Deployment.record());
  Report.UncleanStops_ = Fleet.stop();
  return Report;
}

} // namespace cranberryspool::trial
