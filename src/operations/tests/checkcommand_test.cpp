#include "operations/checkcommand.h"

#include "operations/types/console.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

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
