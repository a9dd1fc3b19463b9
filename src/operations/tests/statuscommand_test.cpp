#include "operations/statuscommand.h"

#include "operations/tests/statusserver.h"
#include "operations/types/console.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace cranberryspool::operations;
using namespace std::chrono_literals;

namespace {

std::string statusOf(int Revision) {
  return R"({"instance": "entry-1", "zone": "yaba", "revision": )" +
         std::to_string(Revision) +
         R"(, "digest": "00ff", "ready": true, "targets": [{"name": "shop-1",
         "state": "warm"}, {"name": "shop-2\u001b[2J"}], "peers": []})";
}

struct Outcome {
  ExitCode Code_;
  std::string Out_;
  std::string Error_;
};

Outcome runStatus(const std::vector<std::string> &Addresses,
                  OutputFormat Form = OutputFormat::Text,
                  cranberryspool::framework::Duration Timeout = 20s) {
  std::ostringstream Out;
  std::ostringstream Error;
  const ExitCode Code = statusCommand(Addresses, Timeout, {Out, Error, Form});
  return {Code, Out.str(), Error.str()};
}

} // namespace

TEST_CASE("status shows one instance with its tables", "[operations]") {
  const StatusServer Server(StatusServer::answerOf(statusOf(7)));
  const Outcome Result = runStatus({Server.address()});
  CHECK(Result.Code_ == ExitCode::Success);
  CHECK(Result.Error_.empty());
  CHECK_THAT(Result.Out_, Catch::Contains("entry-1   yaba  7         00ff") &&
                              Catch::Contains("targets: 2\n") &&
                              Catch::Contains("  shop-1           warm\n") &&
                              Catch::Contains("  shop-2\\u001b[2J  -\n") &&
                              Catch::Contains("queues: 0\n") &&
                              Catch::EndsWith("peers: 0\n"));
}

TEST_CASE("status compares the documents of several instances",
          "[operations]") {
  const StatusServer First(StatusServer::answerOf(statusOf(7)));
  const StatusServer Second(StatusServer::answerOf(statusOf(8)));
  CHECK(runStatus({First.address(), First.address()}).Code_ ==
        ExitCode::Success);
  const Outcome Mixed = runStatus({First.address(), Second.address()});
  CHECK(Mixed.Code_ == ExitCode::NegativeResult);
  CHECK(Mixed.Error_ == "the instances have different documents in force\n");
  const Outcome Json = runStatus({First.address()}, OutputFormat::Json);
  CHECK_THAT(Json.Out_, Catch::StartsWith("{\"" + First.address() + "\":{"));
}

TEST_CASE("status names the instances that give none", "[operations]") {
  const StatusServer Silent("");
  const StatusServer Broken("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
  const StatusServer Other("SSH-2.0-server\r\n");
  const StatusServer List(StatusServer::answerOf("[]"));
  const Outcome Result =
      runStatus({Silent.address(), Broken.address(), Other.address(),
                 List.address(), "localhost", "127.0.0.1:0x1"},
                OutputFormat::Text, 300ms);
  CHECK(Result.Code_ == ExitCode::Unreachable);
  CHECK(Result.Error_ ==
        Silent.address() + ": did not answer in time\n" + Broken.address() +
            ": answered with an error status\n" + Other.address() +
            ": closed the connection or answered no HTTP\n" + List.address() +
            ": the status is no JSON object\n"
            "localhost: is not an address such as 127.0.0.1:9000\n"
            "127.0.0.1:0x1: is not an address such as 127.0.0.1:9000\n");
}
