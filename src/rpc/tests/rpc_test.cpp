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

TEST_CASE("a call reaches its method and brings the result back", "[rpc]") {
  Server Offered = makeServer();
  Client Caller([&Offered](const std::string &Request, std::string &Response) {
    Response = Offered.handle(Request);
    return true;
  });
  const CallResult Echoed = Caller.call("echo", R"({"a":"b"})");
  CHECK(Echoed.Failure_ == CallFailure::None);
  CHECK(Echoed.Text_ == R"({"a":"b"})");
  CHECK(Caller.call("fail", "{}").Failure_ == CallFailure::Refused);
  CHECK(Caller.call("absent", "{}").Failure_ == CallFailure::Refused);
  CHECK(Caller.call("echo", "{").Failure_ == CallFailure::Refused);
}

TEST_CASE("a call without a usable response has failed", "[rpc]") {
  Client Cut([](const std::string &, std::string &) { return false; });
  CHECK(Cut.call("echo", "{}").Failure_ == CallFailure::Unreachable);
  const char *Garbage = GENERATE("", "no json", "[]", "{}", R"({"id":1})",
                                 R"({"jsonrpc":"2.0","id":1,"error":{}})");
  CAPTURE(Garbage);
  Client Confused([Garbage](const std::string &, std::string &Response) {
    Response = Garbage;
    return true;
  });
  CHECK(Confused.call("echo", "{}").Failure_ == CallFailure::Refused);
}

TEST_CASE("a request of an unexpected shape gets an error", "[rpc]") {
  const char *Request = GENERATE("", "[", "[]", "7", "null", R"({"id":1})",
                                 R"({"jsonrpc":"2.0","method":"echo"})",
                                 R"({"jsonrpc":"2.0","id":1,"method":7})");
  CAPTURE(Request);
  Server Offered = makeServer();
  CHECK_NOTHROW(Offered.handle(Request));
}
