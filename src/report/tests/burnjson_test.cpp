#include "report/burnjson.h"

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace cranberryspool::report;
using namespace std::chrono_literals;
using cranberryspool::document::Objective;
using cranberryspool::document::Urgency;
using cranberryspool::framework::ServiceName;
using cranberryspool::framework::WallTime;

namespace {

const ObjectiveKey Key{ServiceName("shop"), Urgency::Urgent};

BurnInputFailure parseFailure(std::string_view Text) {
  const auto Parsed = parseBurnInput(Text);
  REQUIRE_FALSE(Parsed);
  return Parsed.error();
}

} // namespace

TEST_CASE("burn counters are unchanged after a JSON round trip", "[report]") {
  BurnInput Input;
  Input.Objectives_[Key] = Objective{Urgency::Urgent, 50ms, 999'000};
  Input.Buckets_ = {{Key, WallTime(1'700'000'000s), 10s, {7, 2}}};
  const std::string Text = boost::json::serialize(
      boost::json::object{{"burn", burnInputToJson(Input)}});
  const auto Parsed = parseBurnInput(Text);
  REQUIRE(Parsed);
  CHECK(Parsed.value() == Input);
}

TEST_CASE("malformed burn counters are rejected with a JSON pointer",
          "[report]") {
  CHECK(parseFailure("{").Reason_ == BurnInputFailure::Reason::InvalidJson);
  CHECK(parseFailure("[]").Reason_ == BurnInputFailure::Reason::NoBurnMember);
  CHECK(parseFailure(R"({"burn": {}})").Pointer_ == "/burn/rows");
  CHECK(parseFailure(R"({"burn": {"rows": [{"service": "a", "urgency": "urgent",
      "start": 0, "seconds": 0, "good": 1, "bad": 0}]}})")
            .Pointer_ == "/burn/rows/0");
  CHECK(parseFailure(R"({"burn": {"rows": [{"service": "a", "urgency": "urgent",
      "start": 0, "seconds": 10, "good": -1, "bad": 0}]}})")
            .Pointer_ == "/burn/rows/0");
  CHECK(parseFailure(R"({"burn": {"objectives": [{"service": "a",
      "urgency": "urgent", "latency": "1s", "good": "100%"}], "rows": []}})")
            .Pointer_ == "/burn/objectives/0");
}
