#include "operations/explaincommand.h"

#include "operations/types/console.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace cranberryspool::operations;

namespace {

constexpr char RequestLogText[] =
    R"(  0.1 edge-1 {"time":"2026-01-24T22:07:43.100Z","instance":"edge-1","event":"attempt-sent","request":"aa1","attempt":7,"kind":"first","target":"i-1","report_age_ms":9.5}
no JSON at all
  0.2 edge-1 {"time":"2026-01-24T22:07:43.300Z","instance":"edge-1","event":"attempt-ended","request":"aa1","attempt":7,"target":"i-1","result":"connection-failed","elapsed_ms":200}
  0.2 edge-1 {"time":"2026-01-24T22:07:43.301Z","instance":"edge-1","event":"request-ended","request":"aa1","ending":"unknown","reason":"connection-lost","status":502,"attempts":1,"elapsed_ms":201.5,"version":4,"revision":9,"view_age_ms":80}
{"time":"2026-01-24T22:07:43.301Z","instance":"edge-1","event":"request-ended","request":"aa12","ending":"answered","reason":"none","status":200}
)";
constexpr char TargetLogText[] =
    R"({"time":"2026-01-24T22:07:42.900Z","instance":"edge-2","event":"target-ejected","subject":"i-1"}
{"time":"2026-01-24T22:07:40.000Z","instance":"edge-2","event":"target-cold","subject":"i-1"}
{"time":"2026-01-24T22:07:42.950Z","instance":"edge-2","event":"target-cold","subject":"i-2"}
)";

struct ExplainFixture {
  const std::string RequestLogPath_ = "explain_first.log";
  const std::string TargetLogPath_ = "explain_second.log";
  std::ostringstream Out_;
  std::ostringstream Error_;

  ExplainFixture() {
    std::ofstream(RequestLogPath_) << RequestLogText;
    std::ofstream(TargetLogPath_) << TargetLogText;
  }
  ~ExplainFixture() {
    std::remove(RequestLogPath_.c_str());
    std::remove(TargetLogPath_.c_str());
  }
  ExplainFixture(const ExplainFixture &) = delete;
  ExplainFixture &operator=(const ExplainFixture &) = delete;

  ExitCode explain(const std::string &RequestId,
                   OutputFormat Format = OutputFormat::Text) {
    return explainCommand(RequestId, {TargetLogPath_, RequestLogPath_},
                          Console{Out_, Error_, Format});
  }
};

} // namespace

TEST_CASE("explain writes the outcome before the log lines", "[operations]") {
  ExplainFixture Fixture;
  CHECK(Fixture.explain("aa1") == ExitCode::Success);
  const std::string Text = Fixture.Out_.str();
  CHECK(Text.starts_with("unknown with status 502 after 201.5 ms at edge-1, 1 "
                         "attempts, reason connection-lost: the connection "
                         "broke after the request was sent"));
  CHECK(Text.find("attempt-sent") < Text.find("attempt-ended"));
  CHECK(Text.find("report_age_ms=9.5") != std::string::npos);
  CHECK(Text.find("edge-2 target-ejected subject=i-1") != std::string::npos);
  CHECK(Text.find("target-cold") == std::string::npos);
}

TEST_CASE("explain fails for an unknown request and for a missing file",
          "[operations]") {
  ExplainFixture Fixture;
  CHECK(Fixture.explain("zz") == ExitCode::NegativeResult);
  CHECK(explainCommand("aa1", {"none.log"},
                       Console{Fixture.Out_, Fixture.Error_}) ==
        ExitCode::BadInput);
  CHECK(Fixture.Out_.str().empty());
  CHECK_FALSE(Fixture.Error_.str().empty());
}

TEST_CASE("explain writes JSON", "[operations]") {
  ExplainFixture Fixture;
  CHECK(Fixture.explain("aa1", OutputFormat::Json) == ExitCode::Success);
  CHECK(Fixture.Out_.str().starts_with(R"({"request":"aa1","lines":[)"));
}
