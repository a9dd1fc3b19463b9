#include "entry/httpgetclient.h"
#include "entry/internal/httpservice.h"
#include "entry/internal/listen.h"
#include "entry/tests/callerfixture.h"
#include "entry/tests/targetfixture.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <deque>

using namespace cranberryspool;
using namespace cranberryspool::entry;
using boost::asio::ip::tcp;
using boost::system::error_code;
using calls::AttemptFailure;
using Catch::Matchers::StartsWith;
using decision::AttemptAnswered;
using decision::AttemptFailed;

namespace {

/// What a faulty sender writes: a beginning, and then the same part without
/// end.
struct EndlessInput {
  std::string Begin_;
  std::string Part_;
};

/// "Without end" for the tests: more than any limit, socket buffers included.
constexpr std::size_t EndlessBytes = 24 * 1024 * 1024;

const std::string ChunkedResponse =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string ChunkedRequest =
    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string Text(1000, 'a');
const std::string SmallChunk = "1;a=" + std::string(40, 'b') + "\r\nx\r\n";
/// A read nearly always ends within one of its extensions.
const std::string LongChunkHeader =
    "1;a=" + std::string(3990, 'b') + "\r\nx\r\n";

/// Writes until the other side closes. Returns false when it never did.
bool writeWithoutEnd(tcp::socket &Socket, const EndlessInput &Input) {
  std::string Block = Input.Begin_;
  std::size_t Written = 0;
  error_code Error;
  while (Written < EndlessBytes) {
    while (Block.size() < 64 * 1024)
      Block += Input.Part_;
    Written += boost::asio::write(Socket, boost::asio::buffer(Block), Error);
    if (Error)
      return true;
    Block.clear();
  }
  Socket.shutdown(tcp::socket::shutdown_send, Error);
  return false;
}

HttpProfile closeDelimitedProfile() {
  HttpProfile Profile = defaultHttpProfile();
  Profile.IsCloseDelimitedBodyAllowed_ = true;
  return Profile;
}

/// A service of the instance itself on its own thread.
struct ServiceFixture {
  boost::asio::io_context Io_{1};
  Endpoint Endpoint_;
  std::optional<HttpService> Service_;
  std::jthread Thread_;

  ServiceFixture() {
    tcp::acceptor Acceptor = std::move(listen(Io_, {"127.0.0.1", 0}).value());
    Endpoint_ = {"127.0.0.1", Acceptor.local_endpoint().port()};
    Service_.emplace(Io_, std::move(Acceptor), 1024,
                     [](const ServiceRequest &) { return ServiceResponse{}; });
    Thread_ = std::jthread([this] { Io_.run(); });
  }

  ~ServiceFixture() {
    Io_.stop();
    Thread_.join();
  }
};

} // namespace

TEST_CASE("a target that sends bytes without end fails its attempt and leaves "
          "no memory in use",
          "[entry][endless]") {
  const auto Input =
      GENERATE(EndlessInput{"", "HTTP/1.1 100 Continue\r\n\r\n"},
               EndlessInput{"HTTP/1.1 200 OK\r\nA: ", Text},
               EndlessInput{"HTTP/1.1 200 OK\r\n", "A: " + Text + "\r\n"},
               EndlessInput{ChunkedResponse + "1;", Text},
               EndlessInput{ChunkedResponse, SmallChunk},
               EndlessInput{ChunkedResponse, LongChunkHeader},
               EndlessInput{ChunkedResponse + "0\r\n", "A: " + Text + "\r\n"},
               EndlessInput{ChunkedResponse, "3e8\r\n" + Text + "\r\n"},
               EndlessInput{"HTTP/1.1 200 OK\r\n\r\n", Text});
  CAPTURE(Input.Begin_, Input.Part_);
  TargetFixture Fixture(EntryLimits(), closeDelimitedProfile());
  tcp::socket Target = Fixture.open(1);
  Fixture.send(1, 1);
  readHead(Target);
  CHECK(writeWithoutEnd(Target, Input));
  Fixture.expect<decision::AnswerBegan>();
  CHECK(Fixture.expect<AttemptFailed>().Failure_ ==
        AttemptFailure::AnswerTooLarge);
  CHECK(Fixture.responseBytesInUse() == 0);
}

TEST_CASE("responses without a length wait until the byte budget has room",
          "[entry][endless]") {
  EntryLimits Limits;
  Limits.ResponseBytes_ = 100'000;
  Limits.BodyBytes_ = 60'000;
  TargetFixture Fixture(Limits, closeDelimitedProfile());
  const std::string Response =
      "HTTP/1.1 200 OK\r\n\r\n" + std::string(60'000, 'x');
  std::vector<DispatchInput> Held;
  for (std::uint64_t Number = 1; Number <= 2; ++Number) {
    tcp::socket Target = Fixture.open(Number);
    Fixture.send(Number, Number);
    readHead(Target);
    writeAll(Target, Response);
    Target.close();
    Fixture.expect<decision::AnswerBegan>();
    if (Number == 1)
      Held.push_back(Fixture.next());
  }
  CHECK(Held[0].Response_->Body_.size() == 60'000);
  CHECK(Fixture.responseBytesInUse() >= 60'000);
  CHECK(Fixture.responseBytesInUse() <= 100'000);
  CHECK_FALSE(Fixture.hasNext(std::chrono::milliseconds(100)));
  Held.clear();
  CHECK(Fixture.next().Response_->Body_.size() == 60'000);
}

TEST_CASE("responses that hang hold only the room of what has arrived",
          "[entry][endless]") {
  EntryLimits Limits;
  Limits.HeadBytes_ = 1024;
  Limits.ResponseBytes_ = 100'000;
  Limits.BodyBytes_ = 90'000;
  TargetFixture Fixture(Limits, closeDelimitedProfile());
  const auto Begin = GENERATE(
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\nhalf"),
      ChunkedResponse + "15f90\r\nhalf",
      std::string("HTTP/1.1 200 OK\r\n\r\nhalf"));
  std::vector<tcp::socket> Targets;
  for (std::uint64_t Number = 1; Number <= 4; ++Number) {
    Targets.push_back(Fixture.open(Number));
    Fixture.send(Number, Number);
    readHead(Targets.back());
    writeAll(Targets.back(), Begin);
    Fixture.expect<decision::AnswerBegan>();
  }
  tcp::socket Target = Fixture.open(5);
  Fixture.send(5, 5);
  readHead(Target);
  writeAll(Target, "HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n" +
                       std::string(50'000, 'x'));
  Fixture.expect<decision::AnswerBegan>();
  CHECK(Fixture.expect<AttemptAnswered>().Attempt_ == framework::AttemptId(5));
}

TEST_CASE("a response to a probe or of the store without end is not kept",
          "[entry][endless]") {
  const auto Input =
      GENERATE(EndlessInput{"HTTP/1.1 200 OK\r\nA: ", Text},
               EndlessInput{ChunkedResponse + "1;", Text},
               EndlessInput{ChunkedResponse, SmallChunk},
               EndlessInput{ChunkedResponse, LongChunkHeader},
               EndlessInput{ChunkedResponse + "0\r\n", "A: " + Text + "\r\n"},
               EndlessInput{"HTTP/1.1 200 OK\r\n\r\n", Text});
  CAPTURE(Input.Begin_, Input.Part_);
  boost::asio::io_context Io;
  tcp::acceptor Acceptor = std::move(listen(Io, {"127.0.0.1", 0}).value());
  bool HasClosed = false;
  std::jthread Server([&] {
    tcp::socket Connection = Acceptor.accept();
    readHead(Connection);
    HasClosed = writeWithoutEnd(Connection, Input);
  });
  const auto Client = std::make_shared<HttpGetClient>(Io);
  HttpGetRequest Request;
  Request.Server_ = {"127.0.0.1", Acceptor.local_endpoint().port()};
  Request.Target_ = "/";
  Request.Timeout_ = std::chrono::seconds(60);
  Request.BodyBytes_ = 4'000'000;
  std::optional<bool> HasResponse;
  Client->get(std::move(Request), [&](const auto &Response) {
    HasResponse = Response.has_value();
  });
  while (!HasResponse)
    Io.run_one();
  Server.join();
  CHECK_FALSE(*HasResponse);
  CHECK(HasClosed);
  CHECK(Client->wasTooLarge());
}

TEST_CASE("a request to a service of the instance without end is not kept",
          "[entry][endless]") {
  const auto Input =
      GENERATE(EndlessInput{"GET / HTTP/1.1\r\nA: ", Text},
               EndlessInput{ChunkedRequest + "1;", Text},
               EndlessInput{ChunkedRequest, SmallChunk},
               EndlessInput{ChunkedRequest, LongChunkHeader},
               EndlessInput{ChunkedRequest, "0"},
               EndlessInput{ChunkedRequest + "0\r\n", "A: " + Text + "\r\n"});
  CAPTURE(Input.Begin_, Input.Part_);
  ServiceFixture Fixture;
  boost::asio::io_context Io;
  tcp::socket Socket(Io);
  Socket.connect(toTcp(Fixture.Endpoint_));
  CHECK(writeWithoutEnd(Socket, Input));
}

TEST_CASE("a service of the instance responds while others hold connections "
          "open without end",
          "[entry][endless]") {
  ServiceFixture Fixture;
  std::deque<RawClient> Idle;
  for (int Count = 0; Count < 80; ++Count) {
    Idle.emplace_back(Fixture.Endpoint_);
    Idle.back().send("GET / HT");
  }
  RawClient Client(Fixture.Endpoint_);
  Client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK_THAT(Client.receiveResponse(), StartsWith("HTTP/1.1 200 "));
  // The oldest one was closed.
  CHECK(Idle.front().receiveAll().empty());
}

TEST_CASE("a caller that sends bytes without end is refused",
          "[entry][endless]") {
  const auto Input =
      GENERATE(EndlessInput{"GET / HTTP/1.1\r\nA: ", Text},
               EndlessInput{ChunkedRequest + "1;", Text},
               EndlessInput{ChunkedRequest, SmallChunk},
               EndlessInput{ChunkedRequest, LongChunkHeader},
               EndlessInput{ChunkedRequest + "0\r\n", "A: " + Text + "\r\n"});
  CAPTURE(Input.Begin_, Input.Part_);
  EntryLimits Limits;
  Limits.BodyBytes_ = 8 * 1024 * 1024;
  CallerFixture Fixture(Limits);
  RawClient Client = Fixture.connect();
  std::string Bytes = Input.Begin_;
  while (Bytes.size() < 1024 * 1024)
    Bytes += Input.Part_;
  Client.send(Bytes);
  CHECK_THAT(Client.receiveAll(), StartsWith("HTTP/1.1 4"));
  CHECK(Fixture.callCount() == 0);
  CHECK(Fixture.requestBytesInUse() == 0);
}

TEST_CASE("chunked uploads that hang hold only the room of what has arrived",
          "[entry][endless]") {
  EntryLimits Limits;
  Limits.RequestBytes_ = 100'000;
  Limits.BodyBytes_ = 50'000;
  CallerFixture Fixture(Limits);
  std::deque<RawClient> Hanging;
  for (int Count = 0; Count < 4; ++Count) {
    Hanging.emplace_back(Fixture.callerEndpoint());
    Hanging.back().send(ChunkedRequest + "9c40\r\nhalf");
  }
  RawClient Client = Fixture.connect();
  Client.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 40000\r\n\r\n" +
              std::string(40'000, 'x'));
  CHECK_THAT(Client.receiveResponse(), StartsWith("HTTP/1.1 200 "));
}
