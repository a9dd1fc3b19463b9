#include "session/environmentfile.h"
#include "session/sessionrunner.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <sstream>

using namespace cranberryspool::session;

namespace {

EnvironmentSetup readEnvironment() {
  std::ifstream File("src/decision/tests/sessions/environment.json");
  const std::string Text((std::istreambuf_iterator<char>(File)),
                         std::istreambuf_iterator<char>());
  return parseEnvironmentSetup(Text).value();
}

SessionError errorOf(const std::string &Script) {
  std::ostringstream Output;
  SessionRunner Runner(readEnvironment(), 1, false, Output);
  std::istringstream Lines(Script);
  const auto Outcome = Runner.run(Lines);
  REQUIRE_FALSE(Outcome);
  return Outcome.error();
}

} // namespace

TEST_CASE("the error of a session names the line and its defect", "[session]") {
  CHECK(errorOf("{").Code_ == SessionErrorCode::InvalidJson);
  CHECK(errorOf("[]").Code_ == SessionErrorCode::NotAnObject);
  const auto MissingTime = errorOf("\n{\"do\":\"end\"}");
  CHECK(MissingTime.Line_ == 2);
  CHECK(MissingTime.Code_ == SessionErrorCode::InvalidMember);
  CHECK(MissingTime.Subject_ == "at");
  CHECK(errorOf(R"({"at":"1s","do":"dance"})").Code_ ==
        SessionErrorCode::UnknownDirective);
  CHECK(errorOf("{\"at\":\"2s\",\"do\":\"end\"}\n{\"at\":\"1s\",\"do\":"
                "\"end\"}")
            .Code_ == SessionErrorCode::TimeGoesBackwards);
}

TEST_CASE("a session with the same seed gives the same output", "[session]") {
  const auto RunSession = [](std::uint64_t Seed) {
    std::ostringstream Output;
    SessionRunner Runner(readEnvironment(), Seed, true, Output);
    std::istringstream Lines(
        R"({"at":"9s","do":"calls","count":20,"every":"1ms","method":"GET","path":"/certificates/7"}
{"at":"10s","do":"end"})");
    REQUIRE(Runner.run(Lines));
    return Output.str();
  };
  CHECK(RunSession(1) == RunSession(1));
}
