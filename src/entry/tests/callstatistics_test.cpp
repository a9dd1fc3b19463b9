#include "entry/internal/callstatistics.h"
#include "entry/internal/metricspage.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::entry;
using Catch::Matchers::Contains;
using namespace std::chrono_literals;

namespace {

decision::EndedCall makeCall(const std::string &Workspace) {
  decision::EndedCall Call;
  Call.Service_ = framework::ServiceName("s");
  Call.Ending_ = calls::Ending::Answered;
  Call.Status_ = 200;
  Call.Elapsed_ = 15ms;
  Call.Workspace_ = framework::WorkspaceName(Workspace);
  return Call;
}

std::string pageOf(const CallStatistics &Statistics) {
  return writeMetrics({}, {}, {}, Statistics);
}

std::size_t count(const std::string &Text, const std::string &Part) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

} // namespace

TEST_CASE("the calls of a workspace are counted by outcome, so that a refusal "
          "over its quota is not taken for one under overload",
          "[entry][workspaces]") {
  CallStatistics Statistics;
  decision::EndedCall Call = makeCall("w1");
  Statistics.record(Call, {});
  Call.Ending_ = calls::Ending::NotRun;
  Call.Reason_ = calls::EndingReason::OverQuota;
  Statistics.record(Call, {});
  Call.Reason_ = calls::EndingReason::AccessUnconfirmed;
  Statistics.record(Call, {});
  Call.Reason_ = calls::EndingReason::QueueFull;
  Statistics.record(Call, {});
  const std::string Page = pageOf(Statistics);
  const std::string Name = "cranberryspool_workspace_calls_total{outcome=";
  for (const char *Outcome :
       {"answered", "over-quota", "access-unconfirmed", "not-run"})
    CHECK_THAT(Page,
               Contains(Name + "\"" + Outcome + "\",workspace=\"w1\"} 1\n"));
  CHECK_THAT(Page, Contains("cranberryspool_workspace_call_duration_seconds_"
                            "count{workspace=\"w1\"} 1\n"));
  CHECK_THAT(Page,
             Contains("cranberryspool_workspace_call_duration_seconds_bucket{"
                      "workspace=\"w1\",le=\"0.02\"} 1\n"));
}

TEST_CASE("the number of workspaces does not make the metrics page grow "
          "without limit",
          "[entry][workspaces]") {
  CallStatistics Statistics;
  for (int Round = 0; Round < 2; ++Round)
    for (int Number = 0; Number < 150; ++Number)
      Statistics.record(makeCall("w" + std::to_string(Number)), {});
  const std::string Page = pageOf(Statistics);
  const std::string Name = "cranberryspool_workspace_calls_total{";
  CHECK(count(Page, Name) == 101);
  CHECK_THAT(Page,
             Contains(Name + "outcome=\"answered\",workspace=\"w99\"} 2\n"));
  CHECK_THAT(
      Page,
      Contains(Name + "outcome=\"answered\",workspace=\"(other)\"} 100\n"));
}

TEST_CASE("calls without a workspace add nothing to the metrics page",
          "[entry][workspaces]") {
  CallStatistics Statistics;
  Statistics.record(makeCall(""), {});
  const std::string Page = pageOf(Statistics);
  CHECK_THAT(Page, Contains("cranberryspool_calls_total{"));
  CHECK_THAT(Page, !Contains("workspace"));
}
