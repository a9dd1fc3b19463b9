#include "operations/diffcommand.h"

#include "document/parsedocument.h"
#include "document/tests/readfile.h"
#include "operations/diffdocuments.h"
#include "operations/types/console.h"

#include <catch2/catch.hpp>

#include <sstream>
#include <utility>

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

/// Returns a document with the workspaces back-office, which has one key, and
/// kiosk, which has two.
EnvironmentDocument loadWorkspaces() {
  const auto Parsed =
      parseDocument(readFile("src/document/tests/invalid/workspaces.json"));
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

TEST_CASE("changes of workspaces are reported with counts of their keys",
          "[operations]") {
  const EnvironmentDocument Old = loadWorkspaces();
  EnvironmentDocument New = Old;
  Workspace &Kiosk = New.Workspaces_[1];
  Kiosk.KeyDigests_[1].Bytes_.fill(0xfe);
  Kiosk.KeyDigests_.push_back({});
  Kiosk.KeyDigests_.back().Bytes_.fill(0xff);
  Kiosk.Priority_.reset();
  Kiosk.Quota_ = {0.4, 5};
  Workspace Partner;
  Partner.Name_ = WorkspaceName("partner");
  Partner.KeyDigests_.resize(1);
  Partner.Priority_ = 2;
  Partner.Quota_ = {2000, 100.5};
  New.Workspaces_.push_back(Partner);
  New.Workspaces_.erase(New.Workspaces_.begin());
  New.Services_[0].Kinds_[0].IsAnonymousAllowed_ = true;
  using Category = ChangeCategory;
  using Effect = ChangeEffect;
  CHECK(diffDocuments(Old, New) ==
        std::vector<DocumentChange>{
            {Category::Calls, "shop/buy", "anonymous", "false", "true",
             Effect::ServesWithoutKey},
            {Category::Workspaces, "workspace back-office", "", "1 key", "",
             Effect::RefusesKeys},
            {Category::Workspaces, "workspace kiosk", "key-digests", "2 keys",
             "3 keys, 2 added, 1 removed", Effect::RefusesKeys},
            {Category::Workspaces, "workspace kiosk", "priority", "0", "none",
             Effect::None},
            {Category::Workspaces, "workspace kiosk", "quota",
             "0.2 a second, burst 5", "0.4 a second, burst 5", Effect::None},
            {Category::Workspaces, "workspace partner", "", "",
             "1 key, priority 2, quota 2000 a second, burst 100.5",
             Effect::AcceptsKeys}});
}

TEST_CASE("without workspaces a kind that becomes anonymous changes nothing",
          "[operations]") {
  const EnvironmentDocument Old = loadExample();
  EnvironmentDocument New = Old;
  New.Services_[0].Kinds_[0].IsAnonymousAllowed_ = true;
  const auto Changes = diffDocuments(Old, New);
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0].Property_ == "anonymous");
  CHECK(Changes[0].Effect_ == ChangeEffect::None);
}

// The last workspace that goes opens the environment to everybody.
TEST_CASE("the first and the last workspace change who needs a key",
          "[operations]") {
  const EnvironmentDocument With = loadWorkspaces();
  EnvironmentDocument Without = With;
  Without.Workspaces_.clear();
  const auto Removal = diffDocuments(With, Without);
  REQUIRE(Removal.size() == 3);
  CHECK(Removal[0] == DocumentChange{ChangeCategory::Workspaces, "workspaces",
                                     "key required", "true", "false",
                                     ChangeEffect::ServesWithoutKey});
  CHECK(Removal[1].Effect_ == ChangeEffect::None);
  const auto Addition = diffDocuments(Without, With);
  REQUIRE(Addition.size() == 3);
  CHECK(Addition[0].Effect_ == ChangeEffect::RequiresKey);
  CHECK(Addition[1].Effect_ == ChangeEffect::AcceptsKeys);
}

TEST_CASE("a key that moves to another workspace is not reported as refused",
          "[operations]") {
  const EnvironmentDocument Old = loadWorkspaces();
  EnvironmentDocument New = Old;
  std::swap(New.Workspaces_[0].KeyDigests_, New.Workspaces_[1].KeyDigests_);
  const auto Changes = diffDocuments(Old, New);
  REQUIRE(Changes.size() == 2);
  CHECK(Changes[0].After_ == "2 keys, 2 added, 1 removed");
  CHECK(Changes[0].Effect_ == ChangeEffect::None);
  CHECK(Changes[1].Effect_ == ChangeEffect::None);
}

// Digests in a terminal or a ticket could be compared with those of known keys.
TEST_CASE("diff shows no digest of a key", "[operations]") {
  const std::string Path = "src/document/tests/invalid/workspaces.json";
  for (const OutputFormat Format : {OutputFormat::Text, OutputFormat::Json}) {
    std::ostringstream Out;
    std::ostringstream Error;
    CHECK(diffCommand("src/document/tests/invalid/base.json", Path,
                      {Out, Error, Format}) == ExitCode::NegativeResult);
    CHECK_THAT(Out.str(), Catch::Contains("workspace kiosk") &&
                              !Catch::Contains("aaaa") &&
                              !Catch::Contains("sha256"));
  }
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
