#include "workspaces/digestkey.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::workspaces;

namespace {

/// The digest of "abc", from FIPS 180-2, appendix B.1.
constexpr const char *DigestOfAbc =
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

} // namespace

// Other digests than those of common tools would refuse every key that
// operators enter with them.
TEST_CASE("the digest of a key is its SHA-256", "[workspaces]") {
  CHECK(digestText(digestKey("abc")) == DigestOfAbc);
  CHECK(digestText(digestKey("")) ==
        "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
  CHECK(digestKey(std::string(MaxKeyBytes, 'k')) !=
        digestKey(std::string(MaxKeyBytes - 1, 'k')));
}

TEST_CASE("a digest is parsed from the text that is written for it",
          "[workspaces]") {
  const auto Parsed = parseDigest(DigestOfAbc);
  REQUIRE(Parsed);
  CHECK(*Parsed == digestKey("abc"));
}

// A digest that is read wrongly would leave a key unknown without an error.
TEST_CASE("text that is not a digest is not parsed", "[workspaces]") {
  const std::string Valid = DigestOfAbc;
  CHECK_FALSE(parseDigest(""));
  CHECK_FALSE(parseDigest(Valid.substr(1)));
  CHECK_FALSE(parseDigest(Valid + "0"));
  CHECK_FALSE(parseDigest("g" + Valid.substr(1)));
  CHECK_FALSE(parseDigest(Valid.substr(1) + " "));
  // One digest has one notation, so that a text comparison finds duplicates.
  CHECK_FALSE(parseDigest("B" + Valid.substr(1)));
}
