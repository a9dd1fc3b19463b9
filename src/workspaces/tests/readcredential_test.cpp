#include "workspaces/readcredential.h"

#include "workspaces/digestkey.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace cranberryspool::workspaces;

namespace {

Credential read(const std::vector<std::string_view> &Values) {
  return readCredential(Values);
}

Credential presented(std::string_view Key) {
  return {CredentialState::Presented, digestKey(Key)};
}

} // namespace

TEST_CASE("a request without the field has no credential", "[workspaces]") {
  CHECK(read({}) == Credential{CredentialState::Absent, {}});
}

TEST_CASE("the key of a Bearer field is read as its digest", "[workspaces]") {
  CHECK(read({"Bearer key-1"}) == presented("key-1"));
  CHECK(read({" \tBearer   key-1\t "}) == presented("key-1"));
  // Keys are compared exactly, unlike the scheme.
  CHECK(read({"Bearer KEY-1"}) != presented("key-1"));
}

// RFC 9110, section 11.1: a caller that writes the scheme in another case must
// not be refused.
TEST_CASE("the scheme is read in any case", "[workspaces]") {
  CHECK(read({"bearer key-1"}) == presented("key-1"));
  CHECK(read({"BEARER key-1"}) == presented("key-1"));
  CHECK(read({"bEaReR key-1"}) == presented("key-1"));
}

// One of two keys could be withdrawn; a proxy between may have added the other.
TEST_CASE("repeated fields are malformed", "[workspaces]") {
  CHECK(read({"Bearer key-1", "Bearer key-1"}).State_ ==
        CredentialState::Malformed);
  CHECK(read({"", "Bearer key-1"}).State_ == CredentialState::Malformed);
  CHECK(read({"Basic dTpw", "Bearer key-1"}).State_ ==
        CredentialState::Malformed);
}

TEST_CASE("an empty field or key is malformed", "[workspaces]") {
  CHECK(read({""}).State_ == CredentialState::Malformed);
  CHECK(read({" \t"}).State_ == CredentialState::Malformed);
  CHECK(read({"Bearer"}).State_ == CredentialState::Malformed);
  CHECK(read({"Bearer  "}).State_ == CredentialState::Malformed);
}

// A longer key is in no document, and its digest would take longer.
TEST_CASE("a key over 512 bytes is malformed", "[workspaces]") {
  const std::string Longest(MaxKeyBytes, 'k');
  CHECK(read({"Bearer " + Longest}) == presented(Longest));
  CHECK(read({"Bearer " + Longest + "k"}).State_ == CredentialState::Malformed);
}

TEST_CASE("a garbled key is malformed", "[workspaces]") {
  const std::string Key =
      GENERATE(as<std::string>(), "two keys", "key\tkey", "key\x7f",
               "key\xc3\xa9", "key\x01", std::string("key\0key", 7));
  CHECK(read({"Bearer " + Key}).State_ == CredentialState::Malformed);
}

// Another scheme counts as no key on open routes, so it must not be mistaken
// for a malformed one.
TEST_CASE("another scheme is told apart from Bearer", "[workspaces]") {
  const std::string Value =
      GENERATE(as<std::string>(), "Basic dTpw", "Digest", "Bearerkey",
               "Bearer,key", "Beare key-1", "Bearers key-1");
  CHECK(read({Value}) == Credential{CredentialState::OtherScheme, {}});
}
