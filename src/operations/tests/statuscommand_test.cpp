#include "operations/statuscommand.h"

#include "operations/tests/statusserver.h"
#include "operations/types/console.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace cranberryspool::operations;
using namespace std::chrono_literals;

namespace {

std::string makeStatus(int Revision) {
  return R"({"instance": "entry-1", "zone": "yaba", "revision": )" +
         std::to_string(Revision) +
         R"(, "digest": "00ff", "ready": true, "targets": [{"name": "shop-1",
         "state": "warm"}, {"name": "shop-2\u001b[2J"}], "peers": []})";
}

struct CommandResult {
  ExitCode Code_;
  std::string Out_;
  std::string Error_;
};

CommandResult runStatus(const std::vector<std::string> &Addresses,
                        OutputFormat Format = OutputFormat::Text,
                        cranberryspool::framework::Duration Timeout = 20s) {
  std::ostringstream Out;
  std::ostringstream Error;
  const ExitCode Code = statusCommand(Addresses, Timeout, {Out, Error, Format});
  return {Code, Out.str(), Error.str()};
}

} // namespace

TEST_CASE("status shows the tables of a single instance", "[operations]") {
  const StatusServer Server(StatusServer::makeOkResponse(makeStatus(7)));
  const CommandResult Result = runStatus({Server.address()});
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
  const StatusServer FirstServer(StatusServer::makeOkResponse(makeStatus(7)));
  const StatusServer SecondServer(StatusServer::makeOkResponse(makeStatus(8)));
  CHECK(runStatus({FirstServer.address(), FirstServer.address()}).Code_ ==
        ExitCode::Success);
  const CommandResult Mixed =
      runStatus({FirstServer.address(), SecondServer.address()});
  CHECK(Mixed.Code_ == ExitCode::NegativeResult);
  CHECK(Mixed.Error_ == "the instances use different documents\n");
  const CommandResult Json =
      runStatus({FirstServer.address()}, OutputFormat::Json);
  CHECK_THAT(Json.Out_,
             Catch::StartsWith("{\"" + FirstServer.address() + "\":{"));
}

TEST_CASE("status reports each instance whose status it cannot read",
          "[operations]") {
  const StatusServer SilentServer("");
  const StatusServer FailingServer(
      "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
  const StatusServer SshServer("SSH-2.0-server\r\n");
  const StatusServer ArrayServer(StatusServer::makeOkResponse("[]"));
  const CommandResult Result = runStatus(
      {SilentServer.address(), FailingServer.address(), SshServer.address(),
       ArrayServer.address(), "localhost", "127.0.0.1:0x1"},
      OutputFormat::Text, 300ms);
  CHECK(Result.Code_ == ExitCode::Unreachable);
  CHECK(Result.Error_ ==
        SilentServer.address() + ": did not respond in time\n" +
            FailingServer.address() +
            ": responded with an HTTP status other than 200\n" +
            SshServer.address() +
            ": closed the connection or sent no valid HTTP response\n" +
            ArrayServer.address() +
            ": the status is not a JSON object\n"
            "localhost: is not an address such as 127.0.0.1:9000\n"
            "127.0.0.1:0x1: is not an address such as 127.0.0.1:9000\n");
}
