#include "entry/tests/callerfixture.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::entry;
using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;
using namespace std::chrono_literals;

namespace {

const std::string SimpleRequest = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

EntryLimits smallLimits() {
  EntryLimits Limits;
  Limits.HeadBytes_ = 1024;
  Limits.BodyBytes_ = 64;
  return Limits;
}

struct RejectedRequest {
  std::string Request_;
  std::string Status_;
};

std::string getRequest(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

} // namespace

TEST_CASE("a response is complete and names the ending", "[entry]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  Client.send("POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n"
              "hello");
  const std::string Response = Client.receiveResponse();
  CHECK_THAT(Response, StartsWith("HTTP/1.1 200 OK\r\n"));
  CHECK_THAT(Response, Contains("Call-Ending: answered\r\n"));
  CHECK_THAT(Response, Contains("\r\n\r\n/a?b=c hello"));
}

TEST_CASE("each ending has its status and header", "[entry]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  Client.send(getRequest("/refuse/not-run"));
  const std::string NotRun = Client.receiveResponse();
  CHECK_THAT(NotRun, StartsWith("HTTP/1.1 503 "));
  CHECK_THAT(NotRun, Contains("Call-Ending: not-run\r\n"));
  CHECK_THAT(NotRun, Contains("Call-Ending-Reason: queue-full\r\n"));
  CHECK_THAT(NotRun, Contains("Retry-After: 2\r\n"));
  Client.send(getRequest("/refuse/shed"));
  const std::string Shed = Client.receiveResponse();
  CHECK_THAT(Shed, StartsWith("HTTP/1.1 429 "));
  CHECK_THAT(Shed, Contains("Call-Ending: not-run\r\n"));
  Client.send(getRequest("/refuse/unknown"));
  const std::string Unknown = Client.receiveResponse();
  CHECK_THAT(Unknown, StartsWith("HTTP/1.1 502 "));
  CHECK_THAT(Unknown, Contains("Call-Ending: unknown\r\n"));
  CHECK_THAT(Unknown, Contains("Retry-After: 2\r\n"));
  Client.send(getRequest("/refuse/deadline"));
  const std::string DeadlinePassed = Client.receiveResponse();
  CHECK_THAT(DeadlinePassed, StartsWith("HTTP/1.1 504 "));
  CHECK_THAT(DeadlinePassed, Contains("Call-Ending: deadline\r\n"));
  CHECK_THAT(DeadlinePassed, !Contains("Retry-After"));
}

TEST_CASE("an invalid request is not forwarded and closes the connection",
          "[entry]") {
  const auto Rejected = GENERATE(
      RejectedRequest{"nonsense\r\n\r\n", "400"},
      RejectedRequest{"TRACE / HTTP/1.1\r\nHost: x\r\n\r\n", "501"},
      RejectedRequest{"GET / HTTP/3.0\r\nHost: x\r\n\r\n", "505"},
      RejectedRequest{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                      "400"},
      RejectedRequest{"GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n", "400"},
      RejectedRequest{
          "GET / HTTP/1.1\r\nHost: x\r\nRequest-Timeout-Ms: soon\r\n\r\n",
          "400"},
      RejectedRequest{"GET / HTTP/1.1\r\nHost: x\r\nA: " +
                          std::string(2000, 'a') + "\r\n\r\n",
                      "431"},
      RejectedRequest{
          "GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(2000, 'a'), "431"},
      RejectedRequest{
          "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 65\r\n\r\n", "413"},
      RejectedRequest{
          "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
          "20\r\n" +
              std::string(32, 'a') + "\r\n21\r\n" + std::string(33, 'a') +
              "\r\n0\r\n\r\n",
          "413"},
      RejectedRequest{
          "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
          "zz\r\n",
          "400"},
      RejectedRequest{
          "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\nabcXYZ\r\n",
          "400"},
      RejectedRequest{
          "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
          "-1\r\n",
          "400"});
  CAPTURE(Rejected.Request_);
  CallerFixture Fixture(smallLimits());
  RawClient Client = Fixture.connect();
  Client.send(Rejected.Request_);
  const std::string Response = Client.receiveAll();
  CHECK_THAT(Response, StartsWith("HTTP/1.1 " + Rejected.Status_ + " "));
  CHECK_THAT(Response, Contains("Call-Ending: not-run\r\n"));
  CHECK_THAT(Response, Contains("Connection: close\r\n"));
  CHECK(Fixture.callCount() == 0);
}

TEST_CASE("a request that is refused before it became a call is reported with "
          "status and reason",
          "[entry]") {
  CallerFixture Fixture(smallLimits());
  RawClient Client = Fixture.connect();
  Client.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 65\r\n\r\n");
  CHECK_THAT(Client.receiveResponse(), StartsWith("HTTP/1.1 413 "));
  const RefusedRequest Refused = Fixture.awaitRefused();
  CHECK(Refused.Status_ == 413);
  CHECK(Refused.Reason_ == "body-too-large");
}

TEST_CASE("a truncated request is not forwarded", "[entry]") {
  CallerFixture Fixture;
  {
    RawClient TruncatedClient = Fixture.connect();
    TruncatedClient.send(
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf");
    TruncatedClient.close();
  }
  RawClient Client = Fixture.connect();
  Client.send(SimpleRequest);
  CHECK_THAT(Client.receiveResponse(), StartsWith("HTTP/1.1 200 "));
  CHECK(Fixture.callCount() == 1);
}

TEST_CASE("slow senders are timed out", "[entry]") {
  const auto PartialRequest = GENERATE(
      std::string("GET / HT"),
      std::string("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab"),
      std::string("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
                  "\r\n3\r\nab"));
  CAPTURE(PartialRequest);
  EntryLimits Limits;
  Limits.HeadTimeout_ = 10ms;
  Limits.BodyTimeout_ = 10ms;
  CallerFixture Fixture(Limits);
  RawClient Client = Fixture.connect();
  Client.send(PartialRequest);
  CHECK_THAT(Client.receiveAll(), StartsWith("HTTP/1.1 408 "));
  CHECK(Fixture.callCount() == 0);
  CHECK(Fixture.requestBytesInUse() == 0);
}

TEST_CASE("an idle connection is closed after the idle timeout", "[entry]") {
  EntryLimits Limits;
  Limits.IdleTimeout_ = 10ms;
  CallerFixture Fixture(Limits);
  RawClient Client = Fixture.connect();
  CHECK(Client.receiveAll().empty());
}

TEST_CASE("pipelined requests are answered in order", "[entry]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  Client.send(getRequest("/1") + getRequest("/2") + getRequest("/3"));
  CHECK_THAT(Client.receiveResponse(), Contains("\r\n\r\n/1 "));
  CHECK_THAT(Client.receiveResponse(), Contains("\r\n\r\n/2 "));
  CHECK_THAT(Client.receiveResponse(), Contains("\r\n\r\n/3 "));
}

TEST_CASE("chunks are joined, and trailers are dropped", "[entry]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  Client.send("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
              "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n\r\n"
              "3;note=1\r\nabc\r\n2\r\nde\r\n0\r\nIdempotency-Key: late\r\n"
              "\r\n");
  CHECK_THAT(Client.receiveResponse(), Contains("\r\n\r\n/a abcde"));
  const auto Request = Fixture.awaitCalls(1);
  CHECK(Request->Body_ == "abcde");
  CHECK(Request->Fields_ == std::vector<HeaderField>{{"Host", "x"}});
}

TEST_CASE("a caller that expects 100-continue receives it", "[entry]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  Client.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
              "Expect: 100-continue\r\n\r\n");
  CHECK_THAT(Client.receiveResponse(), StartsWith("HTTP/1.1 100 "));
  Client.send("ab");
  CHECK_THAT(Client.receiveResponse(), Contains("\r\n\r\n/a ab"));
}

TEST_CASE("a closed caller connection is reported to the dispatch worker",
          "[entry]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  Client.send(getRequest("/hold"));
  Fixture.awaitCalls(1);
  const framework::CallId Call = Fixture.lastCall();
  Client.close();
  Fixture.awaitCallerGone(Call);
  // A response that arrives after the caller has gone is discarded.
  Fixture.sendCommand(SendResponse{Call, std::make_shared<TargetResponse>()});
  RawClient NextClient = Fixture.connect();
  NextClient.send(SimpleRequest);
  CHECK_THAT(NextClient.receiveResponse(), StartsWith("HTTP/1.1 200 "));
}

TEST_CASE("the total size of request bodies is bounded", "[entry]") {
  EntryLimits Limits;
  Limits.RequestBytes_ = 100;
  CallerFixture Fixture(Limits);
  RawClient FirstClient = Fixture.connect();
  FirstClient.send(
      "POST /hold HTTP/1.1\r\nHost: x\r\nContent-Length: 80\r\n\r\n" +
      std::string(80, 'a'));
  Fixture.awaitCalls(1);
  RawClient SecondClient = Fixture.connect();
  SecondClient.send(
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 30\r\n\r\n" +
      std::string(30, 'b'));
  const std::string Response = SecondClient.receiveResponse();
  CHECK_THAT(Response, StartsWith("HTTP/1.1 503 "));
  CHECK_THAT(Response, Contains("Call-Ending: not-run\r\n"));
  CHECK(Fixture.callCount() == 1);
}

TEST_CASE("a stop answers accepted requests and then closes the connections",
          "[entry]") {
  CallerFixture Fixture;
  RawClient IdleClient = Fixture.connect();
  IdleClient.send(SimpleRequest);
  CHECK_THAT(IdleClient.receiveResponse(), StartsWith("HTTP/1.1 200 "));
  RawClient BusyClient = Fixture.connect();
  BusyClient.send(getRequest("/hold"));
  Fixture.awaitCalls(2);
  Fixture.sendCommand(CloseCallers{});
  CHECK(IdleClient.receiveAll().empty());
  decision::RefuseCall Refusal;
  Refusal.Call_ = Fixture.lastCall();
  Fixture.sendCommand(Refusal);
  const std::string Response = BusyClient.receiveResponse();
  CHECK_THAT(Response, StartsWith("HTTP/1.1 503 "));
  CHECK_THAT(Response, Contains("Connection: close\r\n"));
  BusyClient.close();
  Fixture.awaitClosed();
}

TEST_CASE("a request that arrives while the last response is written is not "
          "run",
          "[entry]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  Client.send(getRequest("/hold"));
  Fixture.awaitCalls(1);
  Fixture.sendCommand(DrainCallers{});
  const auto Response = std::make_shared<TargetResponse>();
  Response->Status_ = 200;
  // More than the buffers of the connection hold.
  Response->Body_.resize(16'000'000, 'x');
  Fixture.sendCommand(SendResponse{Fixture.lastCall(), Response});
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  Client.send(getRequest("/b"));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK_THAT(Client.receiveResponse(), Contains("Connection: close\r\n"));
  CHECK(Fixture.callCount() == 1);
}

TEST_CASE("a draining instance asks callers to reconnect", "[entry]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  Client.send(SimpleRequest);
  CHECK_THAT(Client.receiveResponse(), !Contains("Connection: close"));
  CHECK(Fixture.lastCall() == framework::CallId(1000));
  Fixture.sendCommand(DrainCallers{});
  Client.send(getRequest("/a"));
  CHECK_THAT(Client.receiveAll(), Contains("Connection: close\r\n"));
  RawClient LateClient = Fixture.connect();
  LateClient.send(SimpleRequest);
  CHECK_THAT(LateClient.receiveResponse(), StartsWith("HTTP/1.1 200 "));
}

TEST_CASE("a call that another instance forwards names that instance",
          "[entry][cutoff]") {
  CallerFixture Fixture;
  RawClient Peer = Fixture.connectAsPeer();
  Peer.send("GET /a HTTP/1.1\r\nHost: x\r\nForwarded-By: entry-7;42\r\n\r\n");
  CHECK_THAT(Peer.receiveResponse(), StartsWith("HTTP/1.1 200 OK\r\n"));
  const auto Forwarder = Fixture.lastForwarder();
  REQUIRE(Forwarder);
  CHECK(Forwarder->Name_ == framework::InstanceName("entry-7"));
  CHECK(Forwarder->Incarnation_ == framework::Incarnation(42));
  CHECK(Forwarder->Address_ == "127.0.0.1");
  for (const HeaderField &Field : Fixture.awaitCalls(1)->Fields_)
    CHECK(Field.Name_ != "Forwarded-By");
}

TEST_CASE("a refusal tells another instance that the call was not run",
          "[entry][cutoff]") {
  CallerFixture Fixture;
  RawClient Peer = Fixture.connectAsPeer();
  const auto Receive = [&](const std::string &Path) {
    Peer.send("GET " + Path +
              " HTTP/1.1\r\nHost: x\r\nAttempt-Id: 9\r\n"
              "Forwarded-By: entry-7;42\r\n\r\n");
    return Peer.receiveResponse();
  };
  const std::string NotRun = Receive("/refuse/not-run");
  CHECK_THAT(NotRun, StartsWith("HTTP/1.1 503 "));
  CHECK_THAT(NotRun, Contains("Not-Run: true\r\n"));
  CHECK_THAT(NotRun, Contains("Attempt-Id: 9\r\n"));
  CHECK_THAT(Receive("/refuse/unknown"), !Contains("Not-Run"));
}

TEST_CASE("callers are not told the fields meant for instances, and cannot "
          "pose as one",
          "[entry][cutoff]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  Client.send("GET /refuse/not-run HTTP/1.1\r\nHost: x\r\n"
              "Forwarded-By: entry-7;42\r\n\r\n");
  CHECK_THAT(Client.receiveResponse(), !Contains("Not-Run"));
  CHECK_FALSE(Fixture.lastForwarder());
}

TEST_CASE("a forwarded call without a valid sender is refused",
          "[entry][cutoff]") {
  const char *Field =
      GENERATE("", "Forwarded-By: entry-7\r\n", "Forwarded-By: ;42\r\n",
               "Forwarded-By: entry-7;x\r\n",
               "Forwarded-By: entry-7;42\r\nForwarded-By: entry-8;1\r\n");
  CallerFixture Fixture;
  RawClient Peer = Fixture.connectAsPeer();
  Peer.send("GET /a HTTP/1.1\r\nHost: x\r\n" + std::string(Field) + "\r\n");
  CHECK_THAT(Peer.receiveResponse(), StartsWith("HTTP/1.1 400 "));
  CHECK(Fixture.callCount() == 0);
}
