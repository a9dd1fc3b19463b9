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

constexpr framework::Duration StepTime = std::chrono::milliseconds(20);
constexpr framework::Duration ReadyTimeout = std::chrono::seconds(30);
/// Instances settle within the lag of the list and some heartbeats.
constexpr framework::Duration SettleMargin = std::chrono::seconds(2);
/// A caller gives up some time after its deadline.
constexpr framework::Duration FinishTimeout = std::chrono::seconds(60);

/// Runs the stand-ins until `IsDone` or until the time is up.
template <typename Condition>
bool runUntil(boost::asio::io_context &Context, framework::Duration Timeout,
              Condition IsDone) {
  const auto End = std::chrono::steady_clock::now() + Timeout;
  while (!IsDone()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    Context.run_for(StepTime);
  }
  return true;
}

} // namespace

DocumentTrial::DocumentTrial(document::EnvironmentDocument Document,
                             std::string Text, TrialSettings Settings)
    : Document_(std::move(Document)), Text_(std::move(Text)),
      Settings_(Settings) {}

framework::Result<TrialReport, TrialFailure> DocumentTrial::run() {
  const TrialPlan Plan(Document_, Text_, Settings_);
  boost::asio::io_context Context(1);
  framework::Random Rng(Settings_.Seed_);
  standins::Deployment Behind(Context, Plan.deployment(), Rng);
  TrialFleet Fleet;
  const auto Started =
      Fleet.start(Plan.instances(), Plan.deployment().PlatformAddress_);
  if (!Started)
    return Started.error();
  standins::CallerStandin Callers(Context, Plan.callers());
  const bool IsReady = runUntil(Context, ReadyTimeout, [&Callers] {
    return Callers.readyCount() == Callers.settings().Instances_.size();
  });
  if (!IsReady)
    return TrialFailure{TrialFailure::Kind::InstanceNotReady, {}};
  Context.run_for(Document_.ListLag_ + SettleMargin);
  Callers.start();
  Context.run_for(Settings_.Length_);
  Callers.stopArrivals();
  runUntil(Context, FinishTimeout,
           [&Callers] { return Callers.inFlightCallCount() == 0; });
  TrialReport Report;
  Report.Digest_ = document::documentDigest(Document_);
  Report.Kinds_ =
      makeKindResults(Document_, Callers.records(), Behind.record());
  Report.UncleanStops_ = Fleet.stop();
  return Report;
}

} // namespace cranberryspool::trial
