#include "calls/fingerprinttext.h"
#include "entry/internal/fingerprint.h"
#include "entry/types/callerrequest.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::entry;

namespace {

calls::RequestFingerprint fingerprintOf(const char *Method, const char *Host,
                                        const char *Target,
                                        const std::string &Body,
                                        const char *AttemptId = "") {
  CallerRequest Request;
  Request.Method_ = Method;
  Request.Target_ = Target;
  Request.AttemptId_ = AttemptId;
  Request.Body_ = Body;
  return computeFingerprint(Request, Host);
}

} // namespace

TEST_CASE("a repeated request has the fingerprint of the first one",
          "[entry]") {
  const std::string Body(100'000, 'b');
  CHECK(fingerprintOf("POST", "a.example", "/x?y=1", Body, "17") ==
        fingerprintOf("POST", "a.example", "/x?y=1", Body, "18"));
}

TEST_CASE("requests that differ in any part have other fingerprints",
          "[entry]") {
  const auto Base = fingerprintOf("POST", "a.example", "/x?y=1", "body");
  CHECK(fingerprintOf("PUT", "a.example", "/x?y=1", "body") != Base);
  CHECK(fingerprintOf("POST", "b.example", "/x?y=1", "body") != Base);
  CHECK(fingerprintOf("POST", "a.example", "/x?y=2", "body") != Base);
  CHECK(fingerprintOf("POST", "a.example", "/x?y=1", "bodY") != Base);
  CHECK(fingerprintOf("POST", "a.example/x", "?y=1", "body") != Base);
}

TEST_CASE("a fingerprint is written as 32 hexadecimal digits", "[entry]") {
  CHECK(calls::toText({0x1f, 0xabcdef0123456789}) ==
        "000000000000001fabcdef0123456789");
}
