#include "standins/standinsettings.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::standins;

TEST_CASE("settings of a stand-in process are parsed", "[standins]") {
  const auto Settings = parseStandinSettings(R"({
    // callers only
    "control": "127.0.0.1:1",
    "callers": {"streams": [{"name": "s", "method": "GET", "path": "/a/{id}",
                             "rate": 5, "timeout-ms": 250}]}
  })");
  REQUIRE(Settings.has_value());
  CHECK_FALSE(Settings.value().Deployment_.has_value());
  REQUIRE(Settings.value().Callers_->Streams_.size() == 1);
  CHECK(Settings.value().Callers_->Streams_[0].Timeout_ ==
        std::chrono::milliseconds(250));
}

TEST_CASE("settings without a required member give an error with its name",
          "[standins]") {
  const auto Settings = parseStandinSettings(
      R"({"control": "127.0.0.1:1", "callers": {"streams": [{"name": "s"}]}})");
  REQUIRE_FALSE(Settings.has_value());
  CHECK(Settings.error().Kind_ == SettingsError::Kind::MissingMember);
  CHECK(Settings.error().Member_ == "method");
}
