#include "operations/burncommand.h"

#include "document/tests/readfile.h"
#include "operations/tests/statusserver.h"
#include "operations/types/console.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <filesystem>
#include <sstream>

using namespace cranberryspool::operations;
using namespace std::chrono_literals;
using cranberryspool::framework::WallTime;

namespace {

const WallTime Now(1'728'000'060s);

std::string statusOf(int Good, int Bad) {
  return R"({"burn": {"objectives": [{"service": "certdesk",
    "urgency": "urgent", "latency": "50ms", "good": "99.9%"}],
    "rows": [{"service": "certdesk", "urgency": "urgent",
    "start": 1728000000, "seconds": 10, "good": )" +
         std::to_string(Good) + R"(, "bad": )" + std::to_string(Bad) + "}]}}";
}

struct Outcome {
  ExitCode Code_;
  std::string Out_;
  std::string Error_;
};

Outcome runBurn(BurnOptions Options) {
  Options.Timeout_ = 20s;
  std::ostringstream Out;
  std::ostringstream Error;
  const ExitCode Code =
      burnCommand(Options, Now, {Out, Error, OutputFormat::Text});
  return {Code, Out.str(), Error.str()};
}

} // namespace

TEST_CASE("burn sums the counters of several instances", "[operations]") {
  const StatusServer Clean(StatusServer::answerOf(statusOf(9'000, 0)));
  const StatusServer Bad(StatusServer::answerOf(statusOf(980, 20)));
  const Outcome Calm = runBurn({{Clean.address()}, {}, "", "", {}});
  CHECK(Calm.Code_ == ExitCode::Success);
  CHECK_THAT(Calm.Out_, Catch::EndsWith("overall: ok\n"));
  CHECK(runBurn({{Bad.address()}, {}, "", "", {}}).Code_ ==
        ExitCode::NegativeResult);
  // 20 bad of 10,000 use the budget at twice its rate: no page, a ticket.
  const Outcome Both =
      runBurn({{Clean.address(), Bad.address()}, {}, "", "", {}});
  CHECK_THAT(Both.Out_, Catch::Contains("       10000          20") &&
                            Catch::EndsWith("overall: ticket\n"));
}

TEST_CASE("burn goes on without an instance that does not answer",
          "[operations]") {
  const StatusServer Clean(StatusServer::answerOf(statusOf(9'000, 0)));
  const StatusServer Empty(StatusServer::answerOf("{}"));
  const Outcome Result =
      runBurn({{Clean.address(), Empty.address()}, {}, "", "", {}});
  CHECK(Result.Code_ == ExitCode::Unreachable);
  CHECK(Result.Error_ == Empty.address() + ": has no burn counters at /burn\n");
  CHECK_THAT(Result.Out_, Catch::EndsWith("overall: ok\n"));
}

TEST_CASE("burn reads files and takes objectives of a document",
          "[operations]") {
  const std::string Path = "src/operations/tests/burnstatus.json";
  const std::string Svg =
      std::filesystem::temp_directory_path() / "cranberryspool-burn-test.svg";
  const Outcome Result =
      runBurn({{}, {Path, Path}, "examples/lagos.json", Svg, {}});
  CHECK(Result.Code_ == ExitCode::NegativeResult);
  CHECK(Result.Error_.empty());
  CHECK_THAT(Result.Out_, Catch::Contains("quickcheck          ordinary") &&
                              Catch::EndsWith("overall: page\n"));
  CHECK_THAT(cranberryspool::document::readFile(Svg),
             Catch::StartsWith("<svg "));
  std::remove(Svg.c_str());
  CHECK(runBurn({{}, {"examples/none.json"}, "", "", {}}).Code_ ==
        ExitCode::BadInput);
}
