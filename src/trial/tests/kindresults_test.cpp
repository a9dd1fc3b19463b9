#include "trial/internal/kindresults.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::trial;

namespace {

document::EnvironmentDocument makeDocument(bool IsIdempotent) {
  document::RequestKind Kind;
  Kind.Name_ = framework::KindName("k");
  Kind.IsIdempotent_ = IsIdempotent;
  document::Service Service;
  Service.Kinds_ = {Kind};
  document::EnvironmentDocument Document;
  Document.Services_ = {Service};
  return Document;
}

standins::CallRecord makeRecord(const std::string &Call, unsigned Status) {
  standins::CallRecord Record;
  Record.Call_ = Call;
  Record.Ending_ = "answered";
  Record.Status_ = Status;
  return Record;
}

} // namespace

TEST_CASE("a server error counts as a failed call", "[trial]") {
  const auto Results = makeKindResults(
      makeDocument(true), {makeRecord("a", 200), makeRecord("b", 500)}, {});
  REQUIRE(Results.size() == 1);
  CHECK(Results[0].Answered_ == 1);
  CHECK(Results[0].Failed_ == 1);
}

TEST_CASE("repeated runs count only for non-idempotent calls", "[trial]") {
  standins::RunRecord Runs;
  Runs.addRun("a");
  Runs.addRun("a");
  const std::vector<standins::CallRecord> Records = {makeRecord("a", 200)};
  CHECK(makeKindResults(makeDocument(false), Records, Runs)[0].RunTwice_ == 1);
  CHECK(makeKindResults(makeDocument(true), Records, Runs)[0].RunTwice_ == 0);
}
