#include "entry/tests/callerfixture.h"
#include "entry/tests/targetfixture.h"
#include "entry/tests/workspacefixture.h"
#include "protocol/headers.h"
#include "workspaces/digestkey.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::entry;
using boost::asio::ip::tcp;
using Catch::Matchers::Contains;
using Catch::Matchers::EndsWith;
using Catch::Matchers::StartsWith;
using workspaces::CredentialState;

namespace {

std::string bearer(const std::string &Key) {
  return "Authorization: Bearer " + Key + "\r\n";
}

std::string hexOf(const document::KeyDigest &Digest) {
  std::string Text;
  for (const auto Byte : Digest.Bytes_) {
    constexpr const char *Digits = "0123456789abcdef";
    Text += Digits[static_cast<unsigned>(Byte) >> 4];
    Text += Digits[static_cast<unsigned>(Byte) & 15];
  }
  return Text;
}

/// A request whose caller sent a key, a workspace and the field of instances.
SendRequest makeAttempt() {
  auto Request = std::make_shared<CallerRequest>();
  Request->Method_ = "GET";
  Request->Target_ = "/a";
  Request->Fields_ = {{"Host", "x"}, {"Cranberry-Workspace", "stolen"}};
  Request->CredentialFields_ = {{"Authorization", "Bearer secret"},
                                {"Workspace", "stolen"}};
  decision::SendAttempt Attempt;
  Attempt.Attempt_ = framework::AttemptId(7);
  Attempt.Connection_ = framework::ConnectionId(1);
  Attempt.Timeout_ = std::chrono::seconds(1);
  return {Attempt, Request};
}

/// Returns the head that a target or another instance receives.
std::string headOf(const SendRequest &Attempt) {
  TargetFixture Fixture;
  tcp::socket Target = Fixture.open(1);
  Fixture.sendCommand(Attempt);
  return readHead(Target);
}

decision::ForwardingInstance makeForwarder() {
  return {framework::InstanceName("entry-3"), framework::Incarnation(11), {}};
}

/// Returns the arrival of a request with the given fields.
decision::CallArrived arrivalOf(CallerFixture &Fixture,
                                const std::string &Fields,
                                bool IsFromPeer = false) {
  RawClient Client = IsFromPeer ? Fixture.connectAsPeer() : Fixture.connect();
  Client.send(makeRequest("/a", Fields));
  REQUIRE_THAT(Client.receiveResponse(), StartsWith("HTTP/1.1 200 "));
  return Fixture.lastArrival();
}

} // namespace

TEST_CASE("a key and a workspace that the caller names do not reach a target, "
          "the workspace of the key does",
          "[entry][workspaces]") {
  WorkspaceFixture Fixture(1, true);
  const auto Responses = Fixture.send(
      {makeRequest("/closed/1", bearer("first-key") + "Workspace: w2\r\n"),
       makeRequest("/open/2", "Workspace: w2\r\n"),
       makeRequest("/open/3",
                   "Connection: Authorization\r\n" + bearer("second-key")),
       makeRequest("/open/4", "authorization: Basic secret\r\n")});
  CHECK_THAT(Responses[0], EndsWith("\r\n\r\nw1|"));
  CHECK_THAT(Responses[1], EndsWith("\r\n\r\n|"));
  CHECK_THAT(Responses[2], EndsWith("\r\n\r\nw2|"));
  CHECK_THAT(Responses[3], EndsWith("\r\n\r\n|"));
  const std::string Received = Fixture.receivedFields();
  CHECK_THAT(Received, !Contains("authorization") && !Contains("-key") &&
                           !Contains("secret"));
}

TEST_CASE("a call without a valid key is answered with 401 and does not reach "
          "a target",
          "[entry][workspaces]") {
  WorkspaceFixture Fixture(2, true);
  const std::string Twice = bearer("first-key") + bearer("first-key");
  const std::string Invalid =
      GENERATE_COPY(std::string(), bearer("wrong-key"), bearer(""), Twice,
                    bearer(std::string(513, 'a')), bearer("first-key x"),
                    std::string("Authorization: Basic first-key\r\n"),
                    std::string("Authorization:\r\n"),
                    "Connection: Authorization\r\n" + bearer("wrong-key"));
  CAPTURE(Invalid);
  const std::string Response =
      Fixture.send({makeRequest("/closed/1", Invalid)})[0];
  CHECK_THAT(Response, StartsWith("HTTP/1.1 401 "));
  CHECK_THAT(Response, Contains("WWW-Authenticate: Bearer\r\n"));
  CHECK_THAT(Response, Contains("Call-Ending: not-run\r\n"));
  CHECK_THAT(Response, Contains("Call-Ending-Reason: unauthenticated\r\n"));
  CHECK_THAT(Response, !Contains("Retry-After"));
  CHECK(Fixture.receivedFields().empty());
}

TEST_CASE("an unknown key lets no call run on an open route, also where the "
          "caller declares its field hop-by-hop",
          "[entry][workspaces]") {
  WorkspaceFixture Fixture(3, true);
  const auto Responses =
      Fixture.send({makeRequest("/open/1", bearer("wrong-key")),
                    makeRequest("/open/2", "Connection: Authorization\r\n" +
                                               bearer("wrong-key"))});
  CHECK_THAT(Responses[0], StartsWith("HTTP/1.1 401 "));
  CHECK_THAT(Responses[1], StartsWith("HTTP/1.1 401 "));
  CHECK(Fixture.receivedFields().empty());
}

TEST_CASE("pipelined calls with different keys are not taken for each other",
          "[entry][workspaces]") {
  WorkspaceFixture Fixture(4, true);
  const auto Responses =
      Fixture.send({makeRequest("/closed/1", bearer("first-key")),
                    makeRequest("/closed/2", bearer("wrong-key")),
                    makeRequest("/closed/3", "authorization: BEARER second-key"
                                             "\r\n"),
                    makeRequest("/closed/4", ""),
                    makeRequest("/closed/5", bearer("first-key"))});
  CHECK_THAT(Responses[0], EndsWith("\r\n\r\nw1|"));
  CHECK_THAT(Responses[1], StartsWith("HTTP/1.1 401 "));
  CHECK_THAT(Responses[2], EndsWith("\r\n\r\nw2|"));
  CHECK_THAT(Responses[3], StartsWith("HTTP/1.1 401 "));
  CHECK_THAT(Responses[4], EndsWith("\r\n\r\nw1|"));
}

TEST_CASE("without workspaces the caller's fields reach the target unchanged",
          "[entry][workspaces]") {
  WorkspaceFixture Fixture(5, false);
  const auto Responses = Fixture.send(
      {makeRequest("/closed/1", bearer("any key") + "Workspace: w2\r\n"),
       makeRequest("/closed/2", "Authorization: Basic secret\r\n"),
       makeRequest("/closed/3", "")});
  CHECK_THAT(Responses[0], EndsWith("\r\n\r\nw2|Bearer any key"));
  CHECK_THAT(Responses[1], EndsWith("\r\n\r\n|Basic secret"));
  CHECK_THAT(Responses[2], EndsWith("\r\n\r\n|"));
  CHECK_THAT(Fixture.page("/metrics"), !Contains("workspace"));
  CHECK_THAT(Fixture.awaitEndedCalls(3), !Contains("workspace"));
}

TEST_CASE("a withdrawn key is refused on a connection that used it",
          "[entry][workspaces]") {
  WorkspaceFixture Fixture(6, true);
  const std::string Request = makeRequest("/closed/1", bearer("first-key"));
  CHECK_THAT(Fixture.send({Request})[0], StartsWith("HTTP/1.1 200 "));
  Fixture.publish("new-key");
  while (Fixture.send({Request})[0].starts_with("HTTP/1.1 200 "))
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  CHECK_THAT(Fixture.send({Request})[0], StartsWith("HTTP/1.1 401 "));
  CHECK_THAT(Fixture.send({makeRequest("/closed/1", bearer("new-key"))})[0],
             EndsWith("\r\n\r\nw1|"));
}

TEST_CASE("a call whose key cannot be confirmed is refused with 503 and told "
          "when to come back",
          "[entry][workspaces]") {
  WorkspaceFixture Fixture(7, true);
  Fixture.setStoreAvailable(false);
  const std::string Request = makeRequest("/closed/1", bearer("wrong-key"));
  std::string Response;
  do
    Response = Fixture.send({Request})[0];
  while (Response.starts_with("HTTP/1.1 401 "));
  CHECK_THAT(Response, StartsWith("HTTP/1.1 503 "));
  CHECK_THAT(Response, Contains("Call-Ending-Reason: access-unconfirmed\r\n"));
  CHECK_THAT(Response, Contains("Retry-After: "));
}

TEST_CASE("the log names the workspace of a call and the reason for a refusal, "
          "but no key and no digest of one",
          "[entry][workspaces]") {
  WorkspaceFixture Fixture(8, true);
  Fixture.send({makeRequest("/closed/1", bearer("first-key")),
                makeRequest("/closed/2", bearer("wrong-key"))});
  const std::string Log = Fixture.awaitEndedCalls(2);
  CHECK_THAT(Log, Contains("\"workspace\":\"w1\""));
  CHECK_THAT(Log, Contains("\"ending\":\"not-run\",\"reason\":"
                           "\"unauthenticated\",\"version\":5,\"revision\":5,"
                           "\"view_age_ms\":"));
  const std::string Pages = Fixture.page("/status") + Fixture.page("/metrics");
  for (const char *Key : {"first-key", "second-key", "wrong-key"}) {
    CHECK_THAT(Log + Pages, !Contains(Key));
    CHECK_THAT(Log + Pages, !Contains(hexOf(workspaces::digestKey(Key))));
  }
  CHECK_THAT(Pages, Contains("cranberryspool_workspace_calls_total{"
                             "outcome=\"answered\",workspace=\"w1\"} 1"));
}

TEST_CASE("each refusal of a workspace's call has its status and the fields "
          "that tell the caller what to do",
          "[entry][workspaces]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  const auto Receive = [&](const std::string &Path) {
    Client.send(makeRequest(Path, ""));
    return Client.receiveResponse();
  };
  const std::string Unauthenticated = Receive("/refuse/unauthenticated");
  CHECK_THAT(Unauthenticated, StartsWith("HTTP/1.1 401 "));
  CHECK_THAT(Unauthenticated, Contains("WWW-Authenticate: Bearer\r\n"));
  const std::string Unconfirmed = Receive("/refuse/unconfirmed");
  CHECK_THAT(Unconfirmed, StartsWith("HTTP/1.1 503 "));
  CHECK_THAT(Unconfirmed, Contains("Retry-After: 2\r\n"));
  const std::string OverQuota = Receive("/refuse/over-quota");
  CHECK_THAT(OverQuota, StartsWith("HTTP/1.1 429 "));
  CHECK_THAT(OverQuota, Contains("Retry-After: 2\r\n"));
  CHECK_THAT(OverQuota, !Contains("WWW-Authenticate"));
}

TEST_CASE("a caller cannot name a workspace in the field of instances",
          "[entry][workspaces]") {
  CallerFixture Fixture;
  const std::string Fields = "Forwarded-By: entry-7;42\r\n"
                             "Cranberry-Workspace: w1\r\n";
  CHECK(arrivalOf(Fixture, Fields).ForwardedWorkspace_.value().empty());
  CHECK(arrivalOf(Fixture, Fields, true).ForwardedWorkspace_.value() == "w1");
  for (const HeaderField &Field : Fixture.awaitCalls(2)->Fields_)
    CHECK(Field.Name_ != protocol::ForwardedWorkspaceHeader);
  CHECK(arrivalOf(Fixture, Fields + "Cranberry-Workspace: w2\r\n", true)
            .ForwardedWorkspace_.value()
            .empty());
}

TEST_CASE("a forwarded call carries its own workspace, never a key or a "
          "workspace that the caller names",
          "[entry][workspaces]") {
  SendRequest Attempt = makeAttempt();
  Attempt.Attempt_.IsCredentialForwarded_ = false;
  Attempt.Attempt_.ForwardedBy_ = makeForwarder();
  const std::string WithoutWorkspace = headOf(Attempt);
  CHECK_THAT(WithoutWorkspace, !Contains("stolen") && !Contains("secret"));
  Attempt.Attempt_.Workspace_ = framework::WorkspaceName("w1");
  const std::string Head = headOf(Attempt);
  CHECK_THAT(Head, Contains("\r\nCranberry-Workspace: w1\r\n"));
  CHECK_THAT(Head, !Contains("stolen") && !Contains("secret"));
}

TEST_CASE("a key that was read before workspaces came into force is not sent "
          "afterwards",
          "[entry][workspaces]") {
  SendRequest Attempt = makeAttempt();
  CHECK_THAT(headOf(Attempt),
             Contains("\r\nAuthorization: Bearer secret\r\n") &&
                 Contains("\r\nWorkspace: stolen\r\n"));
  Attempt.Attempt_.IsCredentialForwarded_ = false;
  Attempt.Attempt_.Workspace_ = framework::WorkspaceName("w1");
  const std::string Head = headOf(Attempt);
  CHECK_THAT(Head, Contains("\r\nWorkspace: w1\r\n"));
  CHECK_THAT(Head, !Contains("Authorization") && !Contains("secret"));
}

TEST_CASE("keys are not kept in memory while workspaces are in force",
          "[entry][workspaces]") {
  CallerFixture Fixture;
  const std::string Fields = bearer("first-key") + "Workspace: w2\r\n";
  arrivalOf(Fixture, Fields);
  CHECK(Fixture.awaitCalls(1)->CredentialFields_.size() == 2);
  Fixture.setWorkspacesInForce(true);
  const decision::CallArrived Arrived = arrivalOf(Fixture, Fields);
  CHECK(Arrived.Credential_.State_ == CredentialState::Presented);
  CHECK(Arrived.Credential_.Digest_ == workspaces::digestKey("first-key"));
  const auto Request = Fixture.awaitCalls(2);
  CHECK(Request->CredentialFields_.empty());
  CHECK(Request->Fields_ == std::vector<HeaderField>{{"Host", "x"}});
}

TEST_CASE("a workspace cannot have the request of another one quarantined, and "
          "without workspaces a changed credential evades no quarantine",
          "[entry][workspaces]") {
  CallerFixture Fixture;
  const auto FingerprintOf = [&](const std::string &Key) {
    return arrivalOf(Fixture, bearer(Key)).Fingerprint_;
  };
  CHECK(FingerprintOf("first-key") == FingerprintOf("second-key"));
  Fixture.setWorkspacesInForce(true);
  CHECK(FingerprintOf("first-key") != FingerprintOf("second-key"));
  CHECK(FingerprintOf("first-key") == FingerprintOf("first-key"));
}
