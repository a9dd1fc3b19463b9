#include "operations/checkcommand.h"

#include "operations/types/console.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <unistd.h>

using namespace cranberryspool::operations;

TEST_CASE("check describes an accepted document", "[operations]") {
  std::ostringstream Out;
  std::ostringstream Error;
  const Console Streams{Out, Error, OutputFormat::Text};
  CHECK(checkCommand("examples/lagos.json", Streams) == ExitCode::Success);
  CHECK(Error.str().empty());
  CHECK(Out.str().starts_with("examples/lagos.json: accepted, digest "));
  CHECK_THAT(Out.str(), Catch::Contains("zones: ikeja in lekki in yaba in\n") &&
                            Catch::Contains("POST /certdesk/certificates: "
                                            "ordinary, at most once, "
                                            "deadline 2s\n"));
}

TEST_CASE("check writes the document digest as JSON", "[operations]") {
  std::ostringstream Out;
  std::ostringstream Error;
  const Console Streams{Out, Error, OutputFormat::Json};
  CHECK(checkCommand("examples/lagos.json", Streams) == ExitCode::Success);
  CHECK_THAT(Out.str(), Catch::Contains(R"("accepted":true,"digest":")"));
}

TEST_CASE("check distinguishes an unreadable file from a refused document",
          "[operations]") {
  std::ostringstream Out;
  std::ostringstream Error;
  const Console Streams{Out, Error, OutputFormat::Text};
  CHECK(checkCommand("examples/no-such.json", Streams) == ExitCode::BadInput);
  CHECK(Error.str() == "examples/no-such.json: cannot be opened\n");
  Error.str("");
  CHECK(checkCommand("README.md", Streams) == ExitCode::NegativeResult);
  CHECK_THAT(Error.str(),
             Catch::StartsWith("README.md: line 1, column 1: (whole document)"
                               ": invalid-syntax: ") &&
                 Catch::EndsWith("README.md: refused, 1 fault\n"));
  CHECK(Out.str().empty());
}

TEST_CASE("check describes workspaces without their keys", "[operations]") {
  const std::string Path = "src/document/tests/invalid/workspaces.json";
  std::ostringstream Out;
  std::ostringstream Error;
  const Console Streams{Out, Error, OutputFormat::Text};
  CHECK(checkCommand(Path, Streams) == ExitCode::Success);
  CHECK_THAT(Out.str(),
             Catch::EndsWith("workspaces:\n"
                             "  back-office: 1 key, quota none\n"
                             "  kiosk: 2 keys, priority 0, quota 0.2 a second, "
                             "burst 5\n") &&
                 Catch::Contains("deadline 800ms, open without a key\n"));
  CHECK_THAT(Out.str(), !Catch::Contains("aaaa") && !Catch::Contains("sha256"));
}

// The output of a check ends up in build logs.
TEST_CASE("check refuses a key in place of its digest and does not show it",
          "[operations]") {
  std::ifstream File("src/document/tests/invalid/workspaces.json");
  std::string Text{std::istreambuf_iterator<char>(File), {}};
  const std::string Digest = "sha256:" + std::string(64, 'c');
  REQUIRE(Text.find(Digest) != std::string::npos);
  Text.replace(Text.find(Digest), Digest.size(), "very-secret-key");
  const std::string Path =
      (std::filesystem::temp_directory_path() /
       ("cranberry-check-" + std::to_string(::getpid()) + ".json"))
          .string();
  std::ofstream(Path) << Text;
  for (const OutputFormat Format : {OutputFormat::Text, OutputFormat::Json}) {
    std::ostringstream Out;
    std::ostringstream Error;
    CHECK(checkCommand(Path, {Out, Error, Format}) == ExitCode::NegativeResult);
    CHECK(Out.str().empty());
    CHECK_THAT(Error.str(), Catch::Contains("/workspaces/1/key-digests/0") &&
                                Catch::Contains("invalid-digest") &&
                                !Catch::Contains("very-secret-key"));
  }
  CHECK(std::remove(Path.c_str()) == 0);
}
