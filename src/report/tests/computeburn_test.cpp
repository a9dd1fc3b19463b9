#include "report/computeburn.h"

#include "report/writeburn.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <sstream>

using namespace cranberryspool::report;
using namespace std::chrono_literals;
using cranberryspool::document::Objective;
using cranberryspool::document::Urgency;
using cranberryspool::framework::ServiceName;
using cranberryspool::framework::WallTime;

namespace {

const ObjectiveKey Key{ServiceName("shop"), Urgency::Urgent};
const WallTime Now(480'000h);

/// Returns an objective of 99.9 % and a bucket for each pair of age and count.
BurnInput
makeInput(std::vector<std::pair<std::chrono::minutes, CallCount>> CountsByAge) {
  BurnInput Input;
  Input.Objectives_[Key] = Objective{Urgency::Urgent, 50ms, 999'000};
  for (const auto &[Age, Count] : CountsByAge)
    Input.Buckets_.push_back({Key, Now - Age, 10s, Count});
  return Input;
}

BurnAlert computeAlert(const BurnInput &Input) {
  return computeBurnReport(Input, Now).highestAlert();
}

} // namespace

TEST_CASE("the burn rate is the bad share of calls over the allowed share",
          "[report]") {
  CHECK(burnRate({999, 1}, 999'000) == Approx(1));
  CHECK(burnRate({985'600, 14'400}, 999'000) == Approx(14.4));
  CHECK(burnRate({0, 5}, 990'000) == Approx(100));
  CHECK(burnRate({5, 0}, 999'000) == 0);
  CHECK(burnRate({0, 0}, 999'000) == 0);
}

TEST_CASE("a fast burn raises a page only while it continues", "[report]") {
  CHECK(computeAlert(makeInput({{2min, {9'800, 200}}})) == BurnAlert::Page);
  // The same bad calls, but none in the short windows: the burn has ended.
  CHECK(computeAlert(makeInput({{40min, {9'800, 200}}, {2min, {1'000, 0}}})) !=
        BurnAlert::Page);
  // A short burst of bad calls does not raise the rate of the long window.
  CHECK(computeAlert(makeInput({{50min, {90'000, 0}}, {2min, {980, 20}}})) ==
        BurnAlert::None);
}

TEST_CASE("a slower burn raises a page by the 30 min and 6 h windows",
          "[report]") {
  CHECK(computeAlert(makeInput({{5h, {99'300, 700}}, {20min, {9'930, 70}}})) ==
        BurnAlert::Page);
  CHECK(computeAlert(makeInput({{5h, {99'500, 500}}, {20min, {9'950, 50}}})) ==
        BurnAlert::Ticket);
}

TEST_CASE("a slow burn over days raises a ticket", "[report]") {
  CHECK(computeAlert(makeInput({{70h, {99'890, 110}}, {5h, {9'989, 11}}})) ==
        BurnAlert::Ticket);
  CHECK(computeAlert(makeInput({{70h, {99'910, 90}}, {5h, {9'991, 9}}})) ==
        BurnAlert::None);
  // The calls are older than the longest window.
  CHECK(computeAlert(makeInput({{73h, {0, 1'000}}})) == BurnAlert::NoCalls);
}

TEST_CASE("keys with calls but no objective are reported", "[report]") {
  BurnInput Input = makeInput({});
  const ObjectiveKey OtherKey{ServiceName("till"), Urgency::Ordinary};
  Input.Buckets_.push_back({OtherKey, Now - 1min, 10s, {1, 1}});
  const BurnReport Report = computeBurnReport(Input, Now);
  CHECK(Report.KeysWithoutObjective_ == std::vector<ObjectiveKey>{OtherKey});
  CHECK(Report.highestAlert() == BurnAlert::NoCalls);
  std::ostringstream Text;
  writeBurnText(Report, Text);
  CHECK_THAT(Text.str(), Catch::Contains("till ordinary: counted, but"));
}

TEST_CASE("the burn report is written as text, JSON and SVG", "[report]") {
  BurnInput Input = makeInput({{2min, {9'800, 200}}});
  Input.Objectives_[{ServiceName("a<b&c"), Urgency::Ordinary}] =
      Objective{Urgency::Ordinary, 1s, 990'000};
  const BurnReport Report = computeBurnReport(Input, Now);
  std::ostringstream Text;
  writeBurnText(Report, Text);
  CHECK_THAT(Text.str(), Catch::Contains("99.9% within 50ms") &&
                             Catch::Contains("20.0/20.0") &&
                             Catch::Contains("!") &&
                             Catch::EndsWith("overall: page\n"));
  std::ostringstream Json;
  writeBurnJson(Report, Json);
  const auto Parsed = boost::json::parse(Json.str());
  CHECK(Parsed.at("verdict").as_string() == "page");
  CHECK(Parsed.at("objectives").as_array().size() == 2);
  std::ostringstream Svg;
  writeBurnSvg(Input, Report, Svg);
  CHECK_THAT(Svg.str(), Catch::StartsWith("<svg ") &&
                            Catch::EndsWith("</svg>\n") &&
                            Catch::Contains("a&lt;b&amp;c ordinary"));
  // The burn rate of 20 is drawn at the top edge of the second panel.
  CHECK_THAT(Svg.str(), Catch::Contains(",130.0 "));
}
