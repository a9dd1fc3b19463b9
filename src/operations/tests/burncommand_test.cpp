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

std::string makeStatus(int Good, int Bad) {
  return R"({"burn": {"objectives": [{"service": "certdesk",
    "urgency": "urgent", "latency": "50ms", "good": "99.9%"}],
    "rows": [{"service": "certdesk", "urgency": "urgent",
    "start": 1728000000, "seconds": 10, "good": )" +
         std::to_string(Good) + R"(, "bad": )" + std::to_string(Bad) + "}]}}";
}

struct CommandResult {
  ExitCode Code_;
  std::string Out_;
  std::string Error_;
};

CommandResult runBurn(BurnOptions Options) {
  Options.Timeout_ = 20s;
  std::ostringstream Out;
  std::ostringstream Error;
  const ExitCode Code =
      burnCommand(Options, Now, {Out, Error, OutputFormat::Text});
  return {Code, Out.str(), Error.str()};
}

} // namespace

TEST_CASE("burn adds up the counters of several instances", "[operations]") {
  const StatusServer HealthyInstance(
      StatusServer::makeOkResponse(makeStatus(9'000, 0)));
  const StatusServer FailingInstance(
      StatusServer::makeOkResponse(makeStatus(980, 20)));
  const CommandResult HealthyResult =
      runBurn({{HealthyInstance.address()}, {}, "", "", {}});
  CHECK(HealthyResult.Code_ == ExitCode::Success);
  CHECK_THAT(HealthyResult.Out_, Catch::EndsWith("overall: ok\n"));
  CHECK(runBurn({{FailingInstance.address()}, {}, "", "", {}}).Code_ ==
        ExitCode::NegativeResult);
  // 20 bad calls of 10,000 are a burn rate of 2: enough for a ticket alert, but
  // not for a page.
  const CommandResult CombinedResult = runBurn(
      {{HealthyInstance.address(), FailingInstance.address()}, {}, "", "", {}});
  CHECK_THAT(CombinedResult.Out_, Catch::Contains("       10000          20") &&
                                      Catch::EndsWith("overall: ticket\n"));
}

TEST_CASE("burn reports on the remaining instances when one has no counters",
          "[operations]") {
  const StatusServer HealthyInstance(
      StatusServer::makeOkResponse(makeStatus(9'000, 0)));
  const StatusServer EmptyInstance(StatusServer::makeOkResponse("{}"));
  const CommandResult Result = runBurn(
      {{HealthyInstance.address(), EmptyInstance.address()}, {}, "", "", {}});
  CHECK(Result.Code_ == ExitCode::Unreachable);
  CHECK(Result.Error_ ==
        EmptyInstance.address() + ": has no burn counters at /burn\n");
  CHECK_THAT(Result.Out_, Catch::EndsWith("overall: ok\n"));
}

TEST_CASE("burn reads status files and the objectives of a document",
          "[operations]") {
  const std::string StatusPath = "src/operations/tests/burnstatus.json";
  const std::string SvgPath =
      std::filesystem::temp_directory_path() / "cranberryspool-burn-test.svg";
  const CommandResult Result = runBurn(
      {{}, {StatusPath, StatusPath}, "examples/lagos.json", SvgPath, {}});
  CHECK(Result.Code_ == ExitCode::NegativeResult);
  CHECK(Result.Error_.empty());
  CHECK_THAT(Result.Out_, Catch::Contains("quickcheck          ordinary") &&
                              Catch::EndsWith("overall: page\n"));
  CHECK_THAT(cranberryspool::document::readFile(SvgPath),
             Catch::StartsWith("<svg "));
  std::remove(SvgPath.c_str());
  CHECK(runBurn({{}, {"examples/none.json"}, "", "", {}}).Code_ ==
        ExitCode::BadInput);
}
