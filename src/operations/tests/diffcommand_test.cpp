#include "operations/diffcommand.h"

#include "document/parsedocument.h"
#include "document/tests/readfile.h"
#include "operations/diffdocuments.h"
#include "operations/types/console.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace cranberryspool::operations;
using namespace cranberryspool::document;
using namespace cranberryspool::framework;
using namespace std::chrono_literals;

namespace {

EnvironmentDocument loadExample() {
  const auto Parsed = parseDocument(readFile("examples/lagos.json"));
  REQUIRE(Parsed);
  return Parsed.value();
}

} // namespace

TEST_CASE("equal documents have no differences", "[operations]") {
  CHECK(diffDocuments(loadExample(), loadExample()).empty());
}

TEST_CASE("each change has a category and an effect", "[operations]") {
  const EnvironmentDocument Old = loadExample();
  EnvironmentDocument New = Old;
  New.Zones_[2].State_ = ZoneState::OutOfService;
  New.Services_[1].SlotsPerTarget_ = 8;
  New.Services_[1].Groups_.pop_back();
  RequestKind &Issue = New.Services_[1].Kinds_[1];
  Issue.IsIdempotent_ = true;
  Issue.Deadline_ = 3s;
  New.Services_[1].Objectives_[0].GoodPerMillion_ = 990'000;
  New.MaxInstances_ = 30;
  using Category = ChangeCategory;
  using Effect = ChangeEffect;
  CHECK(diffDocuments(Old, New) ==
        std::vector<DocumentChange>{
            {Category::Zones, "zone yaba", "state", "in", "out",
             Effect::StopsNewCalls},
            {Category::Targets, "certdesk/certdesk-yaba", "", "yaba", "",
             Effect::StopsNewCalls},
            {Category::Targets, "certdesk", "slots-per-target", "6", "8",
             Effect::None},
            {Category::Calls, "certdesk/issue-certificate", "idempotent",
             "false", "true", Effect::AllowsRepeatedExecution},
            {Category::Calls, "certdesk/issue-certificate", "deadline", "2s",
             "3s", Effect::None},
            {Category::Objectives, "certdesk urgent", "objective",
             "99.9% within 50ms", "99% within 50ms", Effect::None},
            {Category::Instances, "instances", "max-instances", "20", "30",
             Effect::None}});
}

TEST_CASE("adding or removing a service changes its calls and targets",
          "[operations]") {
  const EnvironmentDocument Old = loadExample();
  EnvironmentDocument New = Old;
  New.Services_.erase(New.Services_.begin());
  const auto Removal = diffDocuments(Old, New);
  const auto Addition = diffDocuments(New, Old);
  // The service has three target groups, two request kinds and two objectives.
  REQUIRE(Removal.size() == 7);
  REQUIRE(Addition.size() == 7);
  CHECK(Removal[3] == DocumentChange{ChangeCategory::Calls,
                                     "assay-pay/get-deposit", "",
                                     "GET /assay-pay/deposits/*", "",
                                     ChangeEffect::RefusesCalls});
  CHECK(Addition[3].After_ == "GET /assay-pay/deposits/*");
  CHECK(Addition[3].Effect_ == ChangeEffect::AcceptsCalls);
}

TEST_CASE("a service whose last zone goes out of service is reported",
          "[operations]") {
  const EnvironmentDocument Old = loadExample();
  EnvironmentDocument New = Old;
  for (Zone &Each : New.Zones_)
    Each.State_ = ZoneState::OutOfService;
  const auto Changes = diffDocuments(Old, New);
  REQUIRE(Changes.size() == 7);
  CHECK(Changes[3].Effect_ == ChangeEffect::LeavesServiceWithoutZone);
  CHECK(diffDocuments(New, New).empty());
}

TEST_CASE("diff writes the changes as text and returns the matching exit code",
          "[operations]") {
  std::ostringstream Out;
  std::ostringstream Error;
  const Console Streams{Out, Error, OutputFormat::Text};
  CHECK(diffCommand("examples/lagos.json", "examples/lagos.json", Streams) ==
        ExitCode::Success);
  CHECK_THAT(Out.str(), Catch::EndsWith(", 0 changes\n"));
  CHECK(diffCommand("examples/lagos.json", "examples/central-belt.json",
                    Streams) == ExitCode::NegativeResult);
  CHECK_THAT(Out.str(),
             Catch::Contains("  zone gla: added, in\n") &&
                 Catch::Contains("  certdesk/issue-certificate: removed, was "
                                 "POST /certdesk/certificates (such calls are "
                                 "refused)\n"));
  CHECK(diffCommand("examples/lagos.json", "README.md", Streams) ==
        ExitCode::BadInput);
}
