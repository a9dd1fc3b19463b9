#include "session/environmentfile.h"
#include "session/sessionrunner.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <sstream>

using namespace cranberryspool::session;

namespace {

EnvironmentSetup environment() {
  std::ifstream File("src/decision/tests/sessions/environment.json");
  const std::string Text((std::istreambuf_iterator<char>(File)),
                         std::istreambuf_iterator<char>());
  return parseEnvironmentSetup(Text).value();
}

SessionError failureOf(const std::string &Script) {
  std::ostringstream Output;
  SessionRunner Runner(environment(), 1, false, Output);
  std::istringstream Lines(Script);
  const auto Played = Runner.run(Lines);
  REQUIRE_FALSE(Played);
  return Played.error();
}

} // namespace

TEST_CASE("a wrong line of a session is named", "[session]") {
  CHECK(failureOf("{").Fault_ == SessionFault::NotJson);
  CHECK(failureOf("[]").Fault_ == SessionFault::NotAnObject);
  const auto NoTime = failureOf("\n{\"do\":\"end\"}");
  CHECK(NoTime.Line_ == 2);
  CHECK(NoTime.Fault_ == SessionFault::BadMember);
  CHECK(NoTime.Name_ == "at");
  CHECK(failureOf(R"({"at":"1s","do":"dance"})").Fault_ ==
        SessionFault::UnknownKind);
  CHECK(failureOf("{\"at\":\"2s\",\"do\":\"end\"}\n{\"at\":\"1s\",\"do\":"
                  "\"end\"}")
            .Fault_ == SessionFault::GoesBack);
}

TEST_CASE("the same session and seed give the same lines", "[session]") {
  const auto Play = [](std::uint64_t Seed) {
    std::ostringstream Output;
    SessionRunner Runner(environment(), Seed, true, Output);
    std::istringstream Lines(
        R"({"at":"9s","do":"calls","count":20,"every":"1ms","method":"GET","path":"/certificates/7"}
{"at":"10s","do":"end"})");
    REQUIRE(Runner.run(Lines));
    return Output.str();
  };
  CHECK(Play(1) == Play(1));
}
