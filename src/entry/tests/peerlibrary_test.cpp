#include "entry/internal/keptanswerjson.h"
#include "entry/internal/peerlibrary.h"
#include "entry/internal/peermethods.h"
#include "entry/internal/sectionsjson.h"
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

TEST_CASE("section requests and replies survive the way", "[entry]") {
  fleet::SectionRequest Request;
  Request.Have_ = {{"common", framework::Digest(77)}};
  const auto Asked = readSectionRequest(writeSectionRequest(Request));
  REQUIRE(Asked);
  CHECK(Asked->Kind_ == fleet::SectionKind::Document);
  CHECK(Asked->Have_ == Request.Have_);
  const fleet::SectionReply Reply = makeReply();
  const auto Told = readSectionReply(writeSectionReply(Reply));
  REQUIRE(Told);
  CHECK(Told->Kind_ == Reply.Kind_);
  CHECK(Told->Revision_ == Reply.Revision_);
  CHECK(Told->Manifest_ == Reply.Manifest_);
  CHECK(Told->Changed_ == Reply.Changed_);
}

TEST_CASE("unreadable section messages are refused", "[entry]") {
  const char *Text = GENERATE(
      "", "[]", "{}", R"({"kind":"other","have":[]})",
      R"({"kind":"document","have":[{"name":"a"}]})",
      R"({"kind":"document","have":[{"name":"a","digest":"xyz"}]})",
      R"({"kind":"document","revision":5,"manifest":[],"changed":[]})");
  CAPTURE(Text);
  CHECK_FALSE(readSectionRequest(Text));
  CHECK_FALSE(readSectionReply(Text));
}

TEST_CASE("kept answers of any bytes survive the way", "[entry]") {
  for (std::size_t Length = 0; Length < 6; ++Length) {
    TargetAnswer Answer;
    Answer.Status_ = 201;
    Answer.Fields_ = {{"X-Latin", "caf\xe9"}};
    for (std::size_t Byte = 0; Byte < Length; ++Byte)
      Answer.Body_.push_back(static_cast<char>(250 + Byte));
    const auto Read = readKeptAnswer(writeKeptAnswer(&Answer));
    REQUIRE(Read);
    CHECK(Read->Status_ == 201);
    CHECK(Read->Fields_ == Answer.Fields_);
    CHECK(Read->Body_ == Answer.Body_);
  }
  CHECK_FALSE(readKeptAnswer(writeKeptAnswer(nullptr)));
  CHECK_FALSE(readKeptAnswer(R"({"found":true,"status":7,"fields":[]})"));
}

TEST_CASE("kept answers are bounded; the oldest go first", "[entry]") {
  KeptAnswers Kept(4000);
  TargetAnswer Answer;
  Answer.Status_ = 200;
  Answer.Body_ = std::string(1000, 'a');
  for (std::uint64_t Call = 1; Call <= 3; ++Call)
    Kept.keep(framework::CallId(Call), Answer);
  CHECK(Kept.usedBytes() <= 4000);
  CHECK_FALSE(Kept.find(framework::CallId(1)));
  REQUIRE(Kept.find(framework::CallId(3)));
  CHECK(Kept.find(framework::CallId(3))->Body_ == Answer.Body_);
  Kept.drop(framework::CallId(3));
  CHECK_FALSE(Kept.find(framework::CallId(3)));
  Answer.Body_ = std::string(5000, 'a');
  Kept.keep(framework::CallId(4), Answer);
  CHECK_FALSE(Kept.find(framework::CallId(4)));
  CHECK(Kept.find(framework::CallId(2)));
}

TEST_CASE("peers fetch sections and kept answers by JSON-RPC", "[entry]") {
  Mailboxes Rings;
  InstanceState Shared(EntryLimits(), Rings);
  boost::asio::io_context DispatchIo(1);
  Rings.Dispatch_.attach(DispatchIo, [&Shared](DispatchInput &Input) {
    const auto &Asked = std::get<decision::SectionsRequested>(Input.Event_);
    Shared.Sections_.answer(Asked.Request_, makeReply());
  });
  const auto Work = boost::asio::make_work_guard(DispatchIo);
  std::jthread Dispatch([&DispatchIo] { DispatchIo.run(); });
  PeerLibrary Library(Shared);
  rpc::Client Caller(
      [&Library](const std::string &Request, std::string &Response) {
        Response = Library.answer({"POST", PeerMethodsPath, Request}).Body_;
        return true;
      });

  const auto Sections = readSectionReply(
      Caller.call(FetchSectionsMethod, writeSectionRequest({})).Text_);
  REQUIRE(Sections);
  CHECK(Sections->Revision_ == makeReply().Revision_);

  TargetAnswer Answer;
  Answer.Status_ = 201;
  Answer.Body_ = "kept";
  Shared.KeptAnswers_.keep(framework::CallId(9), Answer);
  const auto Fetch = [&Caller](std::uint64_t Call) {
    return readKeptAnswer(
        Caller
            .call(FetchKeptAnswerMethod,
                  writeKeptAnswerQuestion(framework::CallId(Call)))
            .Text_);
  };
  REQUIRE(Fetch(9));
  CHECK(Fetch(9)->Body_ == "kept");
  CHECK_FALSE(Fetch(10));
  CHECK(Library.answer({"GET", PeerMethodsPath, ""}).Status_ == 404);
  DispatchIo.stop();
  Dispatch.join();
  Rings.Dispatch_.detach();
}
