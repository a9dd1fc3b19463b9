#include "workspaces/accesspolicy.h"

#include "document/types/workspace.h"
#include "workspaces/digestkey.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::workspaces;
using namespace std::chrono_literals;
using framework::Duration;

namespace {

constexpr Access Open{AccessOutcome::Open, 0};
constexpr Access Granted{AccessOutcome::Granted, 1};
constexpr Access Unauthenticated{AccessOutcome::Unauthenticated, 0};
constexpr Access Unconfirmed{AccessOutcome::Unconfirmed, 0};

const Credential Absent{CredentialState::Absent, {}};
const Credential OtherScheme{CredentialState::OtherScheme, {}};
const Credential Malformed{CredentialState::Malformed, {}};

Credential key(std::string_view Key) {
  return {CredentialState::Presented, digestKey(Key)};
}

/// Returns a policy with the workspaces 0 and 1, which have the keys `first`
/// and `second`.
AccessPolicy makePolicy(bool IsStrict) {
  std::vector<document::Workspace> Workspaces(2);
  Workspaces[0].KeyDigests_ = {digestKey("first")};
  Workspaces[1].KeyDigests_ = {digestKey("second")};
  AccessPolicy Policy({IsStrict, 5s}, ProcessSecret{1});
  Policy.setWorkspaces(Workspaces);
  return Policy;
}

const std::optional<Duration> Never;

} // namespace

// Deployments without workspaces must serve all requests as before.
TEST_CASE("without workspaces every request is open", "[workspaces]") {
  AccessPolicy Policy({true, 5s}, ProcessSecret{1});
  CHECK_FALSE(Policy.isEnabled());
  for (const Credential &Each : {Absent, OtherScheme, Malformed, key("first")})
    CHECK(Policy.decide(Each, false, Never) == Open);
  Policy.setWorkspaces(std::vector<document::Workspace>(1));
  CHECK(Policy.isEnabled());
  CHECK(Policy.decide(key("first"), false, 1s) == Unauthenticated);
  Policy.setWorkspaces({});
  CHECK(Policy.decide(key("first"), false, Never) == Open);
}

TEST_CASE("a known key is granted to its workspace", "[workspaces]") {
  const bool IsStrict = GENERATE(true, false);
  const bool IsAnonymousAllowed = GENERATE(true, false);
  const AccessPolicy Policy = makePolicy(IsStrict);
  CHECK(Policy.decide(key("second"), IsAnonymousAllowed, 0s) == Granted);
  CHECK(Policy.decide(key("first"), IsAnonymousAllowed, 0s) ==
        Access{AccessOutcome::Granted, 0});
}

// A withdrawn key must not be used by an instance that cannot learn of it.
TEST_CASE("with strict revocation a known key needs a view under 0.7 of the "
          "limit",
          "[workspaces]") {
  const bool IsAnonymousAllowed = GENERATE(true, false);
  const AccessPolicy Policy = makePolicy(true);
  CHECK(Policy.decide(key("second"), IsAnonymousAllowed, 3499ms) == Granted);
  CHECK(Policy.decide(key("second"), IsAnonymousAllowed, 3500ms) ==
        Unconfirmed);
  CHECK(Policy.decide(key("second"), IsAnonymousAllowed, 24h) == Unconfirmed);
  CHECK(Policy.decide(key("second"), IsAnonymousAllowed, Never) == Unconfirmed);
  CHECK(Policy.mayUseKeys(3499ms));
  CHECK_FALSE(Policy.mayUseKeys(3500ms));
  CHECK_FALSE(Policy.mayUseKeys(Never));
}

// An outage of the store must not stop deployments that didn't ask for it.
TEST_CASE("without strict revocation a known key is granted at any age",
          "[workspaces]") {
  const AccessPolicy Policy = makePolicy(false);
  CHECK(Policy.decide(key("second"), false, 24h) == Granted);
  CHECK(Policy.decide(key("second"), false, Never) == Granted);
  CHECK(Policy.mayUseKeys(Never));
}

// A key that was published a moment ago would be refused for good with a 401.
TEST_CASE("an unknown key is rejected only with a view under 1.5 s",
          "[workspaces]") {
  const bool IsStrict = GENERATE(true, false);
  const bool IsAnonymousAllowed = GENERATE(true, false);
  const AccessPolicy Policy = makePolicy(IsStrict);
  const auto Decide = [&](std::optional<Duration> Age) {
    return Policy.decide(key("third"), IsAnonymousAllowed, Age);
  };
  CHECK(Decide(0s) == Unauthenticated);
  CHECK(Decide(1499ms) == Unauthenticated);
  CHECK(Decide(1500ms) == Unconfirmed);
  CHECK(Decide(24h) == Unconfirmed);
  CHECK(Decide(Never) == Unconfirmed);
}

TEST_CASE("a request without a key is served on open routes only",
          "[workspaces]") {
  const bool IsStrict = GENERATE(true, false);
  const AccessPolicy Policy = makePolicy(IsStrict);
  for (const Credential &Each : {Absent, OtherScheme}) {
    CHECK(Policy.decide(Each, true, 1s) == Open);
    CHECK(Policy.decide(Each, true, 24h) == Open);
    CHECK(Policy.decide(Each, true, Never) == Open);
    CHECK(Policy.decide(Each, false, 1s) == Unauthenticated);
    // A newer document may have opened the route.
    CHECK(Policy.decide(Each, false, 24h) == Unconfirmed);
    CHECK(Policy.decide(Each, false, Never) == Unconfirmed);
  }
}

// A caller that garbles its key must not run as one without a key.
TEST_CASE("a malformed credential is rejected on open routes too",
          "[workspaces]") {
  const bool IsStrict = GENERATE(true, false);
  const bool IsAnonymousAllowed = GENERATE(true, false);
  const AccessPolicy Policy = makePolicy(IsStrict);
  CHECK(Policy.decide(Malformed, IsAnonymousAllowed, 0s) == Unauthenticated);
  CHECK(Policy.decide(Malformed, IsAnonymousAllowed, 24h) == Unauthenticated);
  CHECK(Policy.decide(Malformed, IsAnonymousAllowed, Never) == Unauthenticated);
}

TEST_CASE("a key that was removed or moved is decided by the newest document",
          "[workspaces]") {
  AccessPolicy Policy = makePolicy(true);
  std::vector<document::Workspace> Workspaces(2);
  Workspaces[1].KeyDigests_ = {digestKey("first")};
  Policy.setWorkspaces(Workspaces);
  CHECK(Policy.decide(key("first"), false, 1s) == Granted);
  CHECK(Policy.decide(key("second"), false, 1s) == Unauthenticated);
}
