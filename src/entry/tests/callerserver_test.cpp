#include "entry/tests/callerfixture.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::entry;
using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;
using namespace std::chrono_literals;

namespace {

const std::string Get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

EntryLimits smallLimits() {
  EntryLimits Limits;
  Limits.HeadBytes_ = 1024;
  Limits.BodyBytes_ = 64;
  return Limits;
}

struct Refused {
  std::string Request_;
  std::string Status_;
};

std::string getOf(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

} // namespace

TEST_CASE("an answer is given whole with its ending", "[entry]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  Client.send("POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n"
              "hello");
  const std::string Answer = Client.receiveAnswer();
  CHECK_THAT(Answer, StartsWith("HTTP/1.1 200 OK\r\n"));
  CHECK_THAT(Answer, Contains("Call-Ending: answered\r\n"));
  CHECK_THAT(Answer, Contains("\r\n\r\n/a?b=c hello"));
}

TEST_CASE("each ending has its status and header", "[entry]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  Client.send(getOf("/refuse/not-run"));
  const std::string NotRun = Client.receiveAnswer();
  CHECK_THAT(NotRun, StartsWith("HTTP/1.1 503 "));
  CHECK_THAT(NotRun, Contains("Call-Ending: not-run\r\n"));
  CHECK_THAT(NotRun, Contains("Call-Ending-Reason: queue-full\r\n"));
  CHECK_THAT(NotRun, Contains("Retry-After: 2\r\n"));
  Client.send(getOf("/refuse/shed"));
  const std::string Shed = Client.receiveAnswer();
  CHECK_THAT(Shed, StartsWith("HTTP/1.1 429 "));
  CHECK_THAT(Shed, Contains("Call-Ending: not-run\r\n"));
  Client.send(getOf("/refuse/unknown"));
  const std::string Unknown = Client.receiveAnswer();
  CHECK_THAT(Unknown, StartsWith("HTTP/1.1 502 "));
  CHECK_THAT(Unknown, Contains("Call-Ending: unknown\r\n"));
  CHECK_THAT(Unknown, Contains("Retry-After: 2\r\n"));
  Client.send(getOf("/refuse/deadline"));
  const std::string Deadline = Client.receiveAnswer();
  CHECK_THAT(Deadline, StartsWith("HTTP/1.1 504 "));
  CHECK_THAT(Deadline, Contains("Call-Ending: deadline\r\n"));
  CHECK_THAT(Deadline, !Contains("Retry-After"));
}

TEST_CASE("a request that is not accepted is refused, closed and not forwarded",
          "[entry]") {
  const auto Bad = GENERATE(
      Refused{"nonsense\r\n\r\n", "400"},
      Refused{"TRACE / HTTP/1.1\r\nHost: x\r\n\r\n", "501"},
      Refused{"GET / HTTP/3.0\r\nHost: x\r\n\r\n", "505"},
      Refused{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
              "400"},
      Refused{"GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n", "400"},
      Refused{"GET / HTTP/1.1\r\nHost: x\r\nRequest-Timeout-Ms: soon\r\n\r\n",
              "400"},
      Refused{"GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(2000, 'a') +
                  "\r\n\r\n",
              "431"},
      Refused{"GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(2000, 'a'),
              "431"},
      Refused{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 65\r\n\r\n",
              "413"},
      Refused{"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
              "20\r\n" +
                  std::string(32, 'a') + "\r\n21\r\n" + std::string(33, 'a') +
                  "\r\n0\r\n\r\n",
              "413"},
      Refused{"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
              "zz\r\n",
              "400"},
      Refused{"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nabcXYZ\r\n",
              "400"},
      Refused{"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
              "-1\r\n",
              "400"});
  CAPTURE(Bad.Request_);
  CallerFixture Fixture(smallLimits());
  RawClient Client = Fixture.connect();
  Client.send(Bad.Request_);
  const std::string Answer = Client.receiveAll();
  CHECK_THAT(Answer, StartsWith("HTTP/1.1 " + Bad.Status_ + " "));
  CHECK_THAT(Answer, Contains("Call-Ending: not-run\r\n"));
  CHECK_THAT(Answer, Contains("Connection: close\r\n"));
  CHECK(Fixture.callCount() == 0);
}

TEST_CASE("a request that ends half-way is not forwarded", "[entry]") {
  CallerFixture Fixture;
  {
    RawClient Half = Fixture.connect();
    Half.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf");
    Half.close();
  }
  RawClient Client = Fixture.connect();
  Client.send(Get);
  CHECK_THAT(Client.receiveAnswer(), StartsWith("HTTP/1.1 200 "));
  CHECK(Fixture.callCount() == 1);
}

TEST_CASE("slow senders are timed out", "[entry]") {
  const auto Part = GENERATE(
      std::string("GET / HT"),
      std::string("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab"),
      std::string("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
                  "\r\n3\r\nab"));
  CAPTURE(Part);
  EntryLimits Limits;
  Limits.HeadTimeout_ = 10ms;
  Limits.BodyTimeout_ = 10ms;
  CallerFixture Fixture(Limits);
  RawClient Client = Fixture.connect();
  Client.send(Part);
  CHECK_THAT(Client.receiveAll(), StartsWith("HTTP/1.1 408 "));
  CHECK(Fixture.callCount() == 0);
  CHECK(Fixture.requestBytesInUse() == 0);
}

TEST_CASE("an idle connection is closed after its time", "[entry]") {
  EntryLimits Limits;
  Limits.IdleTimeout_ = 10ms;
  CallerFixture Fixture(Limits);
  RawClient Client = Fixture.connect();
  CHECK(Client.receiveAll().empty());
}

TEST_CASE("requests sent ahead are answered in their order", "[entry]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  Client.send(getOf("/1") + getOf("/2") + getOf("/3"));
  CHECK_THAT(Client.receiveAnswer(), Contains("\r\n\r\n/1 "));
  CHECK_THAT(Client.receiveAnswer(), Contains("\r\n\r\n/2 "));
  CHECK_THAT(Client.receiveAnswer(), Contains("\r\n\r\n/3 "));
}

TEST_CASE("chunks are joined, and trailers are dropped", "[entry]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  Client.send("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
              "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n\r\n"
              "3;note=1\r\nabc\r\n2\r\nde\r\n0\r\nIdempotency-Key: late\r\n"
              "\r\n");
  CHECK_THAT(Client.receiveAnswer(), Contains("\r\n\r\n/a abcde"));
  const auto Request = Fixture.awaitCall(1);
  CHECK(Request->Body_ == "abcde");
  CHECK(Request->Fields_ == std::vector<HeaderField>{{"Host", "x"}});
}

TEST_CASE("a caller that waits for leave to send gets it", "[entry]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  Client.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
              "Expect: 100-continue\r\n\r\n");
  CHECK_THAT(Client.receiveAnswer(), StartsWith("HTTP/1.1 100 "));
  Client.send("ab");
  CHECK_THAT(Client.receiveAnswer(), Contains("\r\n\r\n/a ab"));
}

TEST_CASE("a caller that goes away is told to the dispatch duty", "[entry]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  Client.send(getOf("/hold"));
  Fixture.awaitCall(1);
  const framework::CallId Call = Fixture.lastCall();
  Client.close();
  Fixture.awaitGone(Call);
  // A late answer finds nobody and does no harm.
  Fixture.order(GiveAnswer{Call, std::make_shared<TargetAnswer>()});
  RawClient Next = Fixture.connect();
  Next.send(Get);
  CHECK_THAT(Next.receiveAnswer(), StartsWith("HTTP/1.1 200 "));
}

TEST_CASE("the sum of request bodies is bounded", "[entry]") {
  EntryLimits Limits;
  Limits.RequestBytes_ = 100;
  CallerFixture Fixture(Limits);
  RawClient First = Fixture.connect();
  First.send("POST /hold HTTP/1.1\r\nHost: x\r\nContent-Length: 80\r\n\r\n" +
             std::string(80, 'a'));
  Fixture.awaitCall(1);
  RawClient Second = Fixture.connect();
  Second.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 30\r\n\r\n" +
              std::string(30, 'b'));
  const std::string Answer = Second.receiveAnswer();
  CHECK_THAT(Answer, StartsWith("HTTP/1.1 503 "));
  CHECK_THAT(Answer, Contains("Call-Ending: not-run\r\n"));
  CHECK(Fixture.callCount() == 1);
}

TEST_CASE("a stop answers what was accepted and then closes", "[entry]") {
  CallerFixture Fixture;
  RawClient Idle = Fixture.connect();
  Idle.send(Get);
  CHECK_THAT(Idle.receiveAnswer(), StartsWith("HTTP/1.1 200 "));
  RawClient Busy = Fixture.connect();
  Busy.send(getOf("/hold"));
  Fixture.awaitCall(2);
  Fixture.order(FinishCallers{});
  CHECK(Idle.receiveAll().empty());
  decision::RefuseCall Refusal;
  Refusal.Call_ = Fixture.lastCall();
  Fixture.order(Refusal);
  const std::string Answer = Busy.receiveAnswer();
  CHECK_THAT(Answer, StartsWith("HTTP/1.1 503 "));
  CHECK_THAT(Answer, Contains("Connection: close\r\n"));
  Busy.close();
  Fixture.awaitFinished();
}

TEST_CASE("an instance that winds down asks callers to connect anew",
          "[entry]") {
  CallerFixture Fixture;
  RawClient Client = Fixture.connect();
  Client.send(Get);
  CHECK_THAT(Client.receiveAnswer(), !Contains("Connection: close"));
  CHECK(Fixture.lastCall() == framework::CallId(1000));
  Fixture.order(WindDownCallers{});
  Client.send(getOf("/a"));
  CHECK_THAT(Client.receiveAll(), Contains("Connection: close\r\n"));
  RawClient Late = Fixture.connect();
  Late.send(Get);
  CHECK_THAT(Late.receiveAnswer(), StartsWith("HTTP/1.1 200 "));
}
