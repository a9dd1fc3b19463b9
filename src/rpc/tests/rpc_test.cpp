#include "rpc/client.h"
#include "rpc/server.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::rpc;

namespace {

Server makeServer() {
  return Server({{"echo", [](const std::string &Text) { return Text; }},
                 {"fail", [](const std::string &) { return std::string(); }}});
}

} // namespace

TEST_CASE("a call invokes its method and returns the result", "[rpc]") {
  Server TestServer = makeServer();
  Client TestClient(
      [&TestServer](const std::string &Request, std::string &Response) {
        Response = TestServer.handle(Request);
        return true;
      });
  const CallResult Echoed = TestClient.call("echo", R"({"a":"b"})");
  CHECK(Echoed.Failure_ == CallFailure::None);
  CHECK(Echoed.Text_ == R"({"a":"b"})");
  CHECK(TestClient.call("fail", "{}").Failure_ == CallFailure::RpcError);
  CHECK(TestClient.call("absent", "{}").Failure_ == CallFailure::RpcError);
  CHECK(TestClient.call("echo", "{").Failure_ == CallFailure::RpcError);
}

TEST_CASE("a call without a valid response fails", "[rpc]") {
  Client Disconnected([](const std::string &, std::string &) { return false; });
  CHECK(Disconnected.call("echo", "{}").Failure_ ==
        CallFailure::TransportError);
  const char *Malformed = GENERATE("", "no json", "[]", "{}", R"({"id":1})",
                                   R"({"jsonrpc":"2.0","id":1,"error":{}})");
  CAPTURE(Malformed);
  Client TestClient([Malformed](const std::string &, std::string &Response) {
    Response = Malformed;
    return true;
  });
  CHECK(TestClient.call("echo", "{}").Failure_ == CallFailure::RpcError);
}

TEST_CASE("a malformed request does not throw", "[rpc]") {
  const char *Request = GENERATE("", "[", "[]", "7", "null", R"({"id":1})",
                                 R"({"jsonrpc":"2.0","method":"echo"})",
                                 R"({"jsonrpc":"2.0","id":1,"method":7})");
  CAPTURE(Request);
  Server TestServer = makeServer();
  CHECK_NOTHROW(TestServer.handle(Request));
}
