#include "entry/settingsfile.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::entry;
using document::FaultKind;
using namespace std::chrono_literals;

namespace {

std::string settingsWith(const std::string &ExtraMembers) {
  return R"({
  // One instance.
  "name": "entry-1",
  "zone": "ikeja",
  "caller-listen": "127.0.1.1:8080",
  "peer-listen": "127.0.1.1:7000",
  "operator-listen": "127.0.1.1:9000",
  "platform": {"document": "127.0.0.2:8500", "instances": "127.0.0.2:8501"})" +
         ExtraMembers + "\n}\n";
}

struct InvalidSettings {
  std::string ExtraMembers_;
  FaultKind Kind_;
  std::string Pointer_;
};

} // namespace

TEST_CASE("all settings are read", "[entry]") {
  const auto Parsed = parseSettings(settingsWith(
      R"(, "limits": {"body-bytes": "64KiB", "input-bytes": "2MiB",
                        "head-timeout": "250ms"},
          "stop": {"linger": "1s"})"));
  REQUIRE(Parsed);
  const EntrySettings &Settings = Parsed.value();
  CHECK(Settings.Name_ == framework::InstanceName("entry-1"));
  CHECK(Settings.CallerListen_ == Endpoint{"127.0.1.1", 8080});
  CHECK(Settings.InstanceList_ == Endpoint{"127.0.0.2", 8501});
  CHECK(Settings.Limits_.BodyBytes_ == 65536);
  CHECK(Settings.Limits_.InputBytes_ == 2 * 1024 * 1024);
  CHECK(Settings.Limits_.HeadTimeout_ == framework::Duration(250ms));
  CHECK(Settings.StopLinger_ == framework::Duration(1s));
}

TEST_CASE("invalid settings are rejected with the location of the error",
          "[entry]") {
  const auto Invalid = GENERATE(
      InvalidSettings{R"(, "colour": "red")", FaultKind::UnknownKey, "/colour"},
      InvalidSettings{R"(, "zone": "yaba")", FaultKind::DoubledKey, "/zone"},
      InvalidSettings{R"(, "limits": {"head-timeout": 250})",
                      FaultKind::WrongType, "/limits/head-timeout"},
      InvalidSettings{R"(, "limits": {"head-timeout": "250"})",
                      FaultKind::InvalidDuration, "/limits/head-timeout"},
      InvalidSettings{R"(, "limits": {"body-bytes": "64KB"})",
                      FaultKind::InvalidSize, "/limits/body-bytes"},
      InvalidSettings{R"(, "limits": {"body-bytes": "64MiB"})",
                      FaultKind::OutOfRange, "/limits/body-bytes"},
      InvalidSettings{R"(, "limits": [])", FaultKind::WrongType, "/limits"},
      InvalidSettings{R"(, "stop": {"linger": "2h"})", FaultKind::OutOfRange,
                      "/stop/linger"});
  CAPTURE(Invalid.ExtraMembers_);
  const auto Parsed = parseSettings(settingsWith(Invalid.ExtraMembers_));
  REQUIRE_FALSE(Parsed);
  REQUIRE(Parsed.error().size() == 1);
  CHECK(Parsed.error().front().Kind_ == Invalid.Kind_);
  CHECK(Parsed.error().front().Pointer_ == Invalid.Pointer_);
  CHECK(Parsed.error().front().Line_ == 8);
}

TEST_CASE("all errors in the settings are reported together", "[entry]") {
  const auto Parsed = parseSettings(R"({"name": "E 1", "zone": 3})");
  REQUIRE_FALSE(Parsed);
  CHECK(Parsed.error().size() == 6);
}
