#include "framework/units.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::framework;
using namespace std::chrono_literals;

TEST_CASE("durations are parsed with their unit", "[framework]") {
  CHECK(parseDuration("0s") == Duration(0));
  CHECK(parseDuration("7us") == Duration(7));
  CHECK(parseDuration("800ms") == Duration(800ms));
  CHECK(parseDuration("90s") == Duration(90s));
  CHECK(parseDuration("5m") == Duration(5min));
  CHECK(parseDuration("2h") == Duration(2h));
}

TEST_CASE("malformed durations are rejected", "[framework]") {
  const std::string Text =
      GENERATE(std::string(""), std::string("800"), std::string("ms"),
               std::string("-1s"), std::string("+1s"), std::string("1.5s"),
               std::string("1 s"), std::string("01s"), std::string("1S"),
               std::string("1s "), std::string("1d"), std::string("1e3ms"),
               std::string("9223372036854775807h"),
               std::string("99999999999999999999s"));
  CAPTURE(Text);
  CHECK_FALSE(parseDuration(Text));
}

TEST_CASE("durations are formatted in the largest exact unit", "[framework]") {
  CHECK(durationText(Duration(0)) == "0s");
  CHECK(durationText(1500ms) == "1500ms");
  CHECK(durationText(60s) == "1m");
  CHECK(durationText(90s) == "90s");
  CHECK(durationText(Duration(1001)) == "1001us");
}

TEST_CASE("percentages are parsed and formatted exactly", "[framework]") {
  CHECK(parseShare("99.9%") == 999'000U);
  CHECK(parseShare("99.9999%") == 999'999U);
  CHECK(parseShare("100%") == 1'000'000U);
  CHECK(parseShare("0%") == 0U);
  CHECK(shareText(999'000) == "99.9%");
  CHECK(shareText(990'000) == "99%");
  CHECK(shareText(1) == "0.0001%");
}

TEST_CASE("malformed percentages are rejected", "[framework]") {
  const std::string Text =
      GENERATE(std::string(""), std::string("%"), std::string("99.9"),
               std::string("99.%"), std::string("99.99999%"),
               std::string("100.1%"), std::string("101%"), std::string("-1%"),
               std::string("99,9%"), std::string("099%"));
  CAPTURE(Text);
  CHECK_FALSE(parseShare(Text));
}

TEST_CASE("sizes are parsed and formatted with their unit", "[framework]") {
  CHECK(parseSize("512B") == 512U);
  CHECK(parseSize("64KiB") == 65'536U);
  CHECK(parseSize("1MiB") == 1'048'576U);
  CHECK_FALSE(parseSize("64"));
  CHECK_FALSE(parseSize("64KB"));
  CHECK_FALSE(parseSize("64 KiB"));
  CHECK_FALSE(parseSize("9223372036854775807MiB"));
  CHECK(sizeText(65'536) == "64KiB");
  CHECK(sizeText(1'000) == "1000B");
}
