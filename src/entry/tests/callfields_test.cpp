#include "entry/defaulthttpprofile.h"
#include "entry/internal/callfields.h"
#include "entry/internal/fieldtext.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::entry;
using namespace std::chrono_literals;

TEST_CASE("call options are read from header fields", "[entry]") {
  const auto Metadata = readCallFields({{"priority", "u=1, i"},
                                        {"Request-Timeout-Ms", "250"},
                                        {"Idempotency-Key", "\"k-1\""},
                                        {"Call-Depth", "3"},
                                        {"Call-Attempt", "2"}},
                                       defaultHttpProfile());
  REQUIRE(Metadata);
  CHECK(Metadata.value().Urgency_ == document::Urgency::Urgent);
  CHECK(Metadata.value().Timeout_ == framework::Duration(250ms));
  CHECK(Metadata.value().Key_ == framework::IdempotencyKey("k-1"));
  CHECK(Metadata.value().Depth_ == 3);
  CHECK(Metadata.value().Attempt_ == 2);
}

TEST_CASE("an invalid priority is ignored", "[entry]") {
  const char *Value = GENERATE("u=9", "u=", "urgent", "u=-1", "u=1x", "");
  CAPTURE(Value);
  const auto Metadata =
      readCallFields({{"Priority", Value}}, defaultHttpProfile());
  REQUIRE(Metadata);
  CHECK_FALSE(Metadata.value().Urgency_.has_value());
}

TEST_CASE("other invalid call options are errors", "[entry]") {
  const auto Field = GENERATE(HeaderField{"Request-Timeout-Ms", "0"},
                              HeaderField{"Request-Timeout-Ms", "1s"},
                              HeaderField{"Request-Timeout-Ms", "-5"},
                              HeaderField{"Request-Timeout-Ms", "99999999999"},
                              HeaderField{"Idempotency-Key", ""},
                              HeaderField{"Idempotency-Key", "a\"b"},
                              HeaderField{"Call-Depth", "deep"},
                              HeaderField{"Call-Attempt", "0"});
  CAPTURE(Field.Name_, Field.Value_);
  CHECK_FALSE(readCallFields({Field}, defaultHttpProfile()));
}

TEST_CASE("a repeated timeout or key is an error", "[entry]") {
  CHECK_FALSE(
      readCallFields({{"Request-Timeout-Ms", "5"}, {"Request-Timeout-Ms", "6"}},
                     defaultHttpProfile()));
  CHECK_FALSE(
      readCallFields({{"Idempotency-Key", "a"}, {"Idempotency-Key", "b"}},
                     defaultHttpProfile()));
}

TEST_CASE("hop-by-hop and own fields are not forwarded", "[entry]") {
  const std::vector<HeaderField> ForwardedRequestFields =
      forwardableRequestFields({{"Host", "a"},
                                {"Connection", "keep-alive, X-Secret"},
                                {"x-secret", "1"},
                                {"Keep-Alive", "5"},
                                {"TE", "trailers"},
                                {"Upgrade", "h2c"},
                                {"Transfer-Encoding", "chunked"},
                                {"Proxy-Authorization", "b"},
                                {"Not-Run", "true"},
                                {"Attempt-Id", "9"},
                                {"Idempotency-Key", "k"},
                                {"Caller-Call-Id", "7"}},
                               defaultHttpProfile());
  CHECK(ForwardedRequestFields ==
        std::vector<HeaderField>{
            {"Host", "a"}, {"Idempotency-Key", "k"}, {"Caller-Call-Id", "7"}});
  const std::vector<HeaderField> ForwardedResponseFields =
      forwardableResponseFields({{"Load-Report", "{}"},
                                 {"Start-Id", "4"},
                                 {"Connection", "close"},
                                 {"Call-Ending", "unknown"},
                                 {"Content-Type", "text/plain"}},
                                defaultHttpProfile());
  CHECK(ForwardedResponseFields ==
        std::vector<HeaderField>{{"Content-Type", "text/plain"}});
}

TEST_CASE("a request limit is a decimal number of requests per second",
          "[entry]") {
  CHECK(parseRequestRate("2.2") == routing::RequestRate{2'200});
  CHECK(parseRequestRate("0") == routing::RequestRate{0});
  CHECK(parseRequestRate("0.0259") == routing::RequestRate{25});
  CHECK_FALSE(parseRequestRate("1e300")->isUnlimited());
}

TEST_CASE("an invalid request limit is ignored", "[entry]") {
  const char *Value =
      GENERATE("", "-1", "-0", "nan", "inf", "2.2/s", "2,2", "many", " ");
  CAPTURE(Value);
  CHECK_FALSE(parseRequestRate(Value));
}
