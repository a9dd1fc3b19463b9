#include "entry/internal/peermethods.h"
#include "entry/internal/peerrpcservice.h"
#include "entry/internal/sectionsjson.h"
#include "entry/internal/storedresponsejson.h"
#include "rpc/client.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace cranberryspool;
using namespace cranberryspool::entry;

namespace {

fleet::SectionReply makeReply() {
  fleet::SectionReply Reply;
  Reply.Kind_ = fleet::SectionKind::Instances;
  Reply.Revision_ = framework::Revision(0xffffffffffffffff);
  Reply.Manifest_ = {{"common", framework::Digest(0xfedcba9876543210)},
                     {"service/a", framework::Digest(1)}};
  Reply.Changed_ = {
      {"service/a", framework::Digest(1), "{\"name\":\"\\u00e9\"}\n"}};
  return Reply;
}

} // namespace

TEST_CASE("section requests and replies round-trip through JSON", "[entry]") {
  fleet::SectionRequest Request;
  Request.Have_ = {{"common", framework::Digest(77)}};
  const auto ParsedRequest = readSectionRequest(writeSectionRequest(Request));
  REQUIRE(ParsedRequest);
  CHECK(ParsedRequest->Kind_ == fleet::SectionKind::Document);
  CHECK(ParsedRequest->Have_ == Request.Have_);
  const fleet::SectionReply Reply = makeReply();
  const auto ParsedReply = readSectionReply(writeSectionReply(Reply));
  REQUIRE(ParsedReply);
  CHECK(ParsedReply->Kind_ == Reply.Kind_);
  CHECK(ParsedReply->Revision_ == Reply.Revision_);
  CHECK(ParsedReply->Manifest_ == Reply.Manifest_);
  CHECK(ParsedReply->Changed_ == Reply.Changed_);
}

TEST_CASE("invalid section messages are rejected", "[entry]") {
  const char *Text = GENERATE(
      "", "[]", "{}", R"({"kind":"other","have":[]})",
      R"({"kind":"document","have":[{"name":"a"}]})",
      R"({"kind":"document","have":[{"name":"a","digest":"xyz"}]})",
      R"({"kind":"document","revision":5,"manifest":[],"changed":[]})");
  CAPTURE(Text);
  CHECK_FALSE(readSectionRequest(Text));
  CHECK_FALSE(readSectionReply(Text));
}

TEST_CASE("stored responses with arbitrary bytes round-trip through JSON",
          "[entry]") {
  for (std::size_t Length = 0; Length < 6; ++Length) {
    TargetResponse Response;
    Response.Status_ = 201;
    Response.Fields_ = {{"X-Latin", "caf\xe9"}};
    for (std::size_t Byte = 0; Byte < Length; ++Byte)
      Response.Body_.push_back(static_cast<char>(250 + Byte));
    const auto ParsedResponse =
        readStoredResponse(writeStoredResponse(&Response));
    REQUIRE(ParsedResponse);
    CHECK(ParsedResponse->Status_ == 201);
    CHECK(ParsedResponse->Fields_ == Response.Fields_);
    CHECK(ParsedResponse->Body_ == Response.Body_);
  }
  CHECK_FALSE(readStoredResponse(writeStoredResponse(nullptr)));
  CHECK_FALSE(readStoredResponse(R"({"found":true,"status":7,"fields":[]})"));
}

TEST_CASE("stored responses are bounded and the oldest are evicted first",
          "[entry]") {
  StoredResponses Responses(4000);
  TargetResponse Response;
  Response.Status_ = 200;
  Response.Body_ = std::string(1000, 'a');
  for (std::uint64_t Call = 1; Call <= 3; ++Call)
    Responses.store(framework::CallId(Call), Response);
  CHECK(Responses.usedBytes() <= 4000);
  CHECK_FALSE(Responses.find(framework::CallId(1)));
  REQUIRE(Responses.find(framework::CallId(3)));
  CHECK(Responses.find(framework::CallId(3))->Body_ == Response.Body_);
  Responses.drop(framework::CallId(3));
  CHECK_FALSE(Responses.find(framework::CallId(3)));
  Response.Body_ = std::string(5000, 'a');
  Responses.store(framework::CallId(4), Response);
  CHECK_FALSE(Responses.find(framework::CallId(4)));
  CHECK(Responses.find(framework::CallId(2)));
}

TEST_CASE("peers fetch sections and stored responses by JSON-RPC", "[entry]") {
  WorkerMailboxes Mailboxes;
  InstanceState State(EntryLimits(), Mailboxes);
  boost::asio::io_context DispatchIo(1);
  Mailboxes.Dispatch_.attach(DispatchIo, [&State](DispatchInput &Input) {
    const auto &Request = std::get<decision::SectionsRequested>(Input.Event_);
    State.Sections_.complete(Request.Request_, makeReply());
  });
  const auto WorkGuard = boost::asio::make_work_guard(DispatchIo);
  std::jthread Dispatch([&DispatchIo] { DispatchIo.run(); });
  PeerRpcService Service(State);
  rpc::Client Client(
      [&Service](const std::string &Request, std::string &Response) {
        Response = Service.handle({"POST", PeerMethodsPath, Request}).Body_;
        return true;
      });

  const auto Sections = readSectionReply(
      Client.call(FetchSectionsMethod, writeSectionRequest({})).Text_);
  REQUIRE(Sections);
  CHECK(Sections->Revision_ == makeReply().Revision_);

  TargetResponse Response;
  Response.Status_ = 201;
  Response.Body_ = "kept";
  State.StoredResponses_.store(framework::CallId(9), Response);
  const auto Fetch = [&Client](std::uint64_t Call) {
    return readStoredResponse(
        Client
            .call(FetchStoredResponseMethod,
                  writeStoredResponseRequest(framework::CallId(Call)))
            .Text_);
  };
  REQUIRE(Fetch(9));
  CHECK(Fetch(9)->Body_ == "kept");
  CHECK_FALSE(Fetch(10));
  CHECK(Service.handle({"GET", PeerMethodsPath, ""}).Status_ == 404);
  DispatchIo.stop();
  Dispatch.join();
  Mailboxes.Dispatch_.detach();
}
