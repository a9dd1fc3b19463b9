#include "decision/tests/storefixture.h"

#include "document/types/environmentdocument.h"
#include "workspaces/digestkey.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char *Key = "a-key";
constexpr double Rate = 2;
constexpr double Burst = 10;

/// The value of the configuration's record is `quota`, `no-quota` or empty; the
/// last one stands for a configuration without workspaces.
fleet::PublishedItem decode(const std::string &Name, const std::string &Value) {
  const fleet::PublishedItem Base =
      StoreFixture::settings().Seeds_->Decode_(Name, Value);
  const auto *Plain = std::get_if<fleet::PublishedConfiguration>(&Base);
  if (!Plain || Value.empty())
    return Base;
  auto Document =
      std::make_shared<document::EnvironmentDocument>(*Plain->Document_);
  document::Workspace Workspace;
  Workspace.Name_ = framework::WorkspaceName("w1");
  Workspace.KeyDigests_ = {workspaces::digestKey(Key)};
  if (Value == "quota")
    Workspace.Quota_ = {Rate, Burst};
  Document->Workspaces_ = {Workspace};
  return fleet::PublishedConfiguration{2, Document};
}

/// An instance without peers that has run for long enough to grant credits.
struct QuotaFixture : StoreFixture {
  explicit QuotaFixture(const std::string &Value)
      : StoreFixture(makeSettings()) {
    deliver(RecordsChanged{{{"c", Value, framework::Revision(6), false}},
                           framework::Revision(6)});
    pass(seconds(20));
  }

  static CoreSettings makeSettings() {
    CoreSettings Settings = StoreFixture::settings();
    Settings.Seeds_->Decode_ = decode;
    return Settings;
  }

  ActionList call(std::uint64_t Id) {
    CallArrived Arrived;
    Arrived.Call_ = framework::CallId(Id);
    Arrived.Method_ = "GET";
    Arrived.Host_ = "h.example";
    Arrived.Path_ = "/b/x";
    Arrived.Timeout_ = seconds(2);
    Arrived.Credential_ = {workspaces::CredentialState::Presented,
                           workspaces::digestKey(Key)};
    ActionList All = deliver(Arrived);
    const ActionList Later = pass(milliseconds(60));
    All.insert(All.end(), Later.begin(), Later.end());
    // Answers free the slots for the next call.
    for (const SendAttempt &Sent : actionsOf<SendAttempt>(All))
      deliver(makeAnswer(Sent));
    return All;
  }
};

/// What became of a number of calls.
struct CallTotals {
  std::size_t Sent_ = 0;
  std::vector<RefuseCall> OverQuota_;
  std::size_t OtherRefusals_ = 0;
};

CallTotals playCalls(QuotaFixture &Fixture, std::size_t Count) {
  CallTotals Totals;
  for (std::size_t Index = 1; Index <= Count; ++Index) {
    const ActionList Actions = Fixture.call(Index);
    Totals.Sent_ += StoreFixture::actionsOf<SendAttempt>(Actions).size();
    for (const RefuseCall &Each : StoreFixture::actionsOf<RefuseCall>(Actions))
      if (Each.Reason_ == calls::EndingReason::OverQuota)
        Totals.OverQuota_.push_back(Each);
      else
        ++Totals.OtherRefusals_;
  }
  return Totals;
}

} // namespace

// Guards against a quota that is decoded and not kept, and against refusals
// that do not say when a credit is due.
TEST_CASE("calls beyond a workspace's quota are refused with the time of the "
          "next credit",
          "[quota]") {
  QuotaFixture Fixture("quota");
  constexpr std::size_t Calls = 60;
  const CallTotals Totals = playCalls(Fixture, Calls);
  const double Elapsed = 0.06 * Calls;
  CHECK(Totals.OtherRefusals_ == 0);
  CHECK(Totals.Sent_ + Totals.OverQuota_.size() == Calls);
  CHECK(static_cast<double>(Totals.Sent_) <=
        (Rate * Elapsed + Burst) * 1.25 + 20);
  REQUIRE_FALSE(Totals.OverQuota_.empty());
  for (const RefuseCall &Each : Totals.OverQuota_) {
    CHECK(Each.Ending_ == calls::Ending::NotRun);
    CHECK(Each.RetryAfter_ > framework::Duration::zero());
  }
}

TEST_CASE("a workspace without a quota is not limited", "[quota]") {
  QuotaFixture Fixture("no-quota");
  const CallTotals Totals = playCalls(Fixture, 60);
  CHECK(Totals.Sent_ == 60);
  CHECK(Totals.OverQuota_.empty());
}

// Guards against a change for deployments whose document has no workspaces.
TEST_CASE("without workspaces no credit is requested and no message about "
          "quotas is sent",
          "[quota]") {
  QuotaFixture Fixture("");
  for (std::uint64_t Id = 1; Id <= 20; ++Id)
    for (const SendPeerMessage &Each :
         StoreFixture::actionsOf<SendPeerMessage>(Fixture.call(Id))) {
      CHECK_FALSE(std::holds_alternative<quotas::QuotaRequest>(Each.Message_));
      CHECK_FALSE(std::holds_alternative<quotas::QuotaGrant>(Each.Message_));
    }
}
