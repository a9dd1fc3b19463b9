#include "decision/tests/storefixture.h"

#include "document/types/environmentdocument.h"
#include "workspaces/digestkey.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace cranberryspool;
using namespace cranberryspool::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char *Key = "first-key";

document::Workspace makeWorkspace(const std::string &Name,
                                  const std::string &WorkspaceKey) {
  document::Workspace Workspace;
  Workspace.Name_ = framework::WorkspaceName(Name);
  Workspace.KeyDigests_ = {workspaces::digestKey(WorkspaceKey)};
  return Workspace;
}

/// The value of the configuration's record is the key of workspace w1; an empty
/// value stands for a configuration without workspaces.
fleet::PublishedItem decode(const std::string &Name, const std::string &Value) {
  const fleet::PublishedItem Base =
      StoreFixture::settings().Seeds_->Decode_(Name, Value);
  const auto *Plain = std::get_if<fleet::PublishedConfiguration>(&Base);
  if (!Plain || Value.empty())
    return Base;
  auto Document =
      std::make_shared<document::EnvironmentDocument>(*Plain->Document_);
  Document->Workspaces_ = {makeWorkspace("w1", Value),
                           makeWorkspace("w2", "other-key")};
  Document->Routes_[0].IsAnonymousAllowed_ = true;
  return fleet::PublishedConfiguration{Value == Key ? 2U : 3U, Document};
}

CoreSettings makeSettings(bool IsStrict = true) {
  CoreSettings Settings = StoreFixture::settings();
  Settings.Seeds_->Decode_ = decode;
  Settings.Seeds_->Bounds_.IsRevocationStrict_ = IsStrict;
  Settings.Seeds_->Bounds_.RevocationTime_ = seconds(5);
  return Settings;
}

/// Delivers a configuration in which w1 has the given key.
ActionList publish(StoreFixture &Fixture, std::uint64_t Revision,
                   const std::string &WorkspaceKey) {
  return Fixture.deliver(RecordsChanged{
      {{"c", WorkspaceKey, framework::Revision(Revision), false}},
      framework::Revision(Revision)});
}

/// Delivers an answer of the store that there are no changes.
void confirm(StoreFixture &Fixture, std::uint64_t Revision = 6) {
  Fixture.deliver(RecordsChanged{{}, framework::Revision(Revision)});
}

ActionList sendCall(StoreFixture &Fixture, std::uint64_t Id,
                    const std::string &Path,
                    const workspaces::Credential &Credential) {
  CallArrived Arrived;
  Arrived.Call_ = framework::CallId(Id);
  Arrived.Method_ = "GET";
  Arrived.Host_ = "h.example";
  Arrived.Path_ = Path;
  Arrived.Timeout_ = seconds(2);
  Arrived.Credential_ = Credential;
  ActionList All = Fixture.deliver(Arrived);
  const ActionList Later = Fixture.pass(milliseconds(3));
  All.insert(All.end(), Later.begin(), Later.end());
  return All;
}

workspaces::Credential makeCredential(const std::string &WorkspaceKey) {
  return {workspaces::CredentialState::Presented,
          workspaces::digestKey(WorkspaceKey)};
}

std::vector<SendAttempt> sentOf(const ActionList &Actions) {
  return StoreFixture::actionsOf<SendAttempt>(Actions);
}

calls::EndingReason reasonOf(const ActionList &Actions) {
  const auto Refused = StoreFixture::actionsOf<RefuseCall>(Actions);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Ending_ == calls::Ending::NotRun);
  return Refused[0].Reason_;
}

} // namespace

TEST_CASE("a call is sent under the name of its key's workspace, and without "
          "its credential",
          "[access]") {
  StoreFixture Fixture(makeSettings());
  publish(Fixture, 6, Key);
  const auto Sent = sentOf(sendCall(Fixture, 1, "/b/x", makeCredential(Key)));
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].Workspace_.value() == "w1");
  CHECK_FALSE(Sent[0].IsCredentialForwarded_);
}

TEST_CASE("without workspaces the credential is forwarded and not checked",
          "[access]") {
  StoreFixture Fixture(makeSettings());
  confirm(Fixture);
  const auto Sent =
      sentOf(sendCall(Fixture, 1, "/b/x", makeCredential("any key")));
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].IsCredentialForwarded_);
  CHECK(Sent[0].Workspace_.value().empty());
}

TEST_CASE("a call without a valid key runs only on an open route, and never "
          "with an unknown key",
          "[access]") {
  StoreFixture Fixture(makeSettings());
  publish(Fixture, 6, Key);
  const workspaces::Credential None;
  CHECK(reasonOf(sendCall(Fixture, 1, "/b/x", None)) ==
        calls::EndingReason::Unauthenticated);
  CHECK(reasonOf(sendCall(Fixture, 2, "/b/x", makeCredential("unknown"))) ==
        calls::EndingReason::Unauthenticated);
  CHECK(reasonOf(sendCall(Fixture, 3, "/a/x", makeCredential("unknown"))) ==
        calls::EndingReason::Unauthenticated);
  const auto Sent = sentOf(sendCall(Fixture, 4, "/a/x", None));
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].Workspace_.value().empty());
  CHECK_FALSE(Sent[0].IsCredentialForwarded_);
}

TEST_CASE("a key that is withdrawn while its call waits for a connection lets "
          "no request run",
          "[access]") {
  StoreFixture Fixture(makeSettings());
  publish(Fixture, 6, Key);
  Fixture.ConnectTime_ = milliseconds(100);
  REQUIRE(sentOf(sendCall(Fixture, 1, "/b/x", makeCredential(Key))).empty());
  CHECK(reasonOf(publish(Fixture, 7, "second-key")) ==
        calls::EndingReason::Unauthenticated);
  CHECK(sentOf(Fixture.pass(milliseconds(300))).empty());
}

TEST_CASE("a call whose key is withdrawn after its first attempt gets no "
          "second one",
          "[access]") {
  StoreFixture Fixture(makeSettings());
  publish(Fixture, 6, Key);
  const auto Sent = sentOf(sendCall(Fixture, 1, "/a/x", makeCredential(Key)));
  REQUIRE(Sent.size() == 1);
  publish(Fixture, 7, "second-key");
  ActionList Next = Fixture.deliver(StoreFixture::makeReset(Sent[0]));
  const ActionList Later = Fixture.pass(milliseconds(400));
  Next.insert(Next.end(), Later.begin(), Later.end());
  CHECK(sentOf(Next).empty());
  CHECK(StoreFixture::actionsOf<RefuseCall>(Next).size() == 1);
}

TEST_CASE("an instance that is cut off from the store stops using keys before "
          "a withdrawal is due, and resumes once its view is confirmed",
          "[access]") {
  StoreFixture Fixture(makeSettings());
  publish(Fixture, 6, Key);
  // A jump of the wall clock must not make the view look younger.
  Fixture.Now_.Wall_ -= seconds(30);
  Fixture.pass(milliseconds(3300));
  CHECK(sentOf(sendCall(Fixture, 1, "/b/x", makeCredential(Key))).size() == 1);
  Fixture.pass(milliseconds(300));
  CHECK(reasonOf(sendCall(Fixture, 2, "/b/x", makeCredential(Key))) ==
        calls::EndingReason::AccessUnconfirmed);
  CHECK(sentOf(sendCall(Fixture, 3, "/a/x", {})).size() == 1);
  confirm(Fixture);
  CHECK(sentOf(sendCall(Fixture, 4, "/b/x", makeCredential(Key))).size() == 1);
}

TEST_CASE("a call that waits for a connection is refused when the view gets "
          "too old to use keys",
          "[access]") {
  StoreFixture Fixture(makeSettings());
  publish(Fixture, 6, Key);
  Fixture.pass(milliseconds(3400));
  Fixture.ConnectTime_ = milliseconds(200);
  REQUIRE(sentOf(sendCall(Fixture, 1, "/b/x", makeCredential(Key))).empty());
  const ActionList Later = Fixture.pass(milliseconds(250));
  CHECK(sentOf(Later).empty());
  CHECK(reasonOf(Later) == calls::EndingReason::AccessUnconfirmed);
}

// The clock runs on while a process is paused, but nothing checks the view.
TEST_CASE("a call that waits while the process is paused is not sent with a "
          "view that got too old",
          "[access]") {
  StoreFixture Fixture(makeSettings());
  publish(Fixture, 6, Key);
  Fixture.pass(milliseconds(3300));
  Fixture.ConnectTime_ = milliseconds(100);
  REQUIRE(sentOf(sendCall(Fixture, 1, "/b/x", makeCredential(Key))).empty());
  Fixture.Now_.Monotonic_ += milliseconds(400);
  Fixture.Now_.Wall_ += milliseconds(400);
  const ActionList Later = Fixture.pass(milliseconds(300));
  CHECK(sentOf(Later).empty());
  CHECK(reasonOf(Later) == calls::EndingReason::AccessUnconfirmed);
}

TEST_CASE("an instance that has just started uses no key before the store has "
          "confirmed its view",
          "[access]") {
  StoreFixture Fixture(makeSettings());
  // The first full read may be stale; only a later answer confirms it.
  RecordsRead Read;
  Read.AsOf_ = framework::Revision(6);
  for (const char *Name : {"c", "s1-1", "s1-2", "s1-3", "s2-1"})
    Read.Records_.push_back({Name, Name == std::string("c") ? Key : "",
                             framework::Revision(6), false});
  Core Restarted(makeSettings(), framework::Random(3));
  Fixture.Core_ = std::move(Restarted);
  Fixture.deliver(Tick{});
  Fixture.deliver(Read);
  CHECK(reasonOf(sendCall(Fixture, 1, "/b/x", makeCredential(Key))) ==
        calls::EndingReason::AccessUnconfirmed);
  confirm(Fixture);
  CHECK(sentOf(sendCall(Fixture, 2, "/b/x", makeCredential(Key))).size() == 1);
}

TEST_CASE("where the withdrawal of keys is not strict, an old view is used",
          "[access]") {
  StoreFixture Fixture(makeSettings(false));
  publish(Fixture, 6, Key);
  Fixture.pass(seconds(20));
  CHECK(sentOf(sendCall(Fixture, 1, "/b/x", makeCredential(Key))).size() == 1);
}
