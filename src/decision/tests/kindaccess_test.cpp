#include "decision/tests/corefixture.h"
#include "document/keydigesttext.h"
#include "workspaces/digestkey.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cranberryspool;
using namespace cranberryspool::decision;

namespace {

constexpr const char *Key = "first-key";

/// A document in which the look-up is open to requests without a key.
std::string documentText() {
  return R"({
  "max-instances": 4,
  "list-lag": "1s",
  "zones": [{"name": "ikeja"}],
  "services": [{
    "name": "certdesk",
    "slots-per-target": 4,
    "connections-per-target": 32,
    "probes-per-target-per-minute": 30,
    "cold-start": {"max-in-flight": 4, "warmup": "1s"},
    "groups": [{"name": "certdesk-ikeja", "zone": "ikeja"}],
    "kinds": [
      {"name": "look-up", "method": "GET", "path": "/certificates/*",
       "idempotent": true, "deadline": "500ms", "anonymous": true},
      {"name": "issue", "method": "POST", "path": "/certificates",
       "idempotent": false, "deadline": "2s"}
    ]
  }],
  "workspaces": [{"name": "kiosk", "key-digests": ["sha256:)" +
         document::digestText(workspaces::digestKey(Key)) + R"("]}]
})";
}

ActionList send(CoreFixture &Fixture, std::uint64_t Id, bool IsLookUp,
                const workspaces::Credential &Credential) {
  CallArrived Arrival = CoreFixture::makeCall(Id, IsLookUp);
  Arrival.Credential_ = Credential;
  ActionList All = Fixture.deliver(Arrival);
  const ActionList Later = Fixture.pass(std::chrono::milliseconds(3));
  All.insert(All.end(), Later.begin(), Later.end());
  return All;
}

workspaces::Credential makeCredential(const std::string &Text) {
  return {workspaces::CredentialState::Presented, workspaces::digestKey(Text)};
}

void checkRefused(const ActionList &Actions) {
  CHECK(CoreFixture::actionsOf<SendAttempt>(Actions).empty());
  const auto Refused = CoreFixture::actionsOf<RefuseCall>(Actions);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Reason_ == calls::EndingReason::Unauthenticated);
}

} // namespace

// A kind that is open by mistake would serve everybody.
TEST_CASE("only kinds that are marked as anonymous serve calls without a key",
          "[access]") {
  CoreFixture Fixture;
  Fixture.startUp();
  Fixture.deliver(DocumentPublished{framework::Revision(9), documentText()});
  const auto Open =
      CoreFixture::actionsOf<SendAttempt>(send(Fixture, 1, true, {}));
  REQUIRE(Open.size() == 1);
  CHECK(Open[0].Workspace_.value().empty());
  checkRefused(send(Fixture, 2, false, {}));
  checkRefused(send(Fixture, 3, true, makeCredential("other-key")));
  checkRefused(send(Fixture, 4, false, makeCredential("other-key")));
  const auto Granted = CoreFixture::actionsOf<SendAttempt>(
      send(Fixture, 5, false, makeCredential(Key)));
  REQUIRE(Granted.size() == 1);
  CHECK(Granted[0].Workspace_.value() == "kiosk");
}
