#include "fleet/internal/seeded/pieceassembly.h"
#include "fleet/internal/seeded/recordlog.h"
#include "fleet/peercodec.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using framework::Instant;
using framework::Revision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Instant at(framework::Duration Time) { return Instant(seconds(100)) + Time; }

RecordUpdate noticeOf(RecordLog &Log, std::uint64_t AsOf, Instant Now) {
  RecordUpdate Notice;
  Notice.ToRevision_ = Revision(AsOf);
  Log.fill(Notice, Now);
  return Notice;
}

} // namespace

TEST_CASE("a change is told for a while, with what led to it", "[records]") {
  RecordLog Log;
  Log.note(Revision(5), Revision(6), {{"a", "1", Revision(6), false}}, at({}));
  Log.note(Revision(6), Revision(8), {{"a", "2", Revision(8), false}},
           at(milliseconds(100)));
  const auto Notice = noticeOf(Log, 8, at(milliseconds(200)));
  CHECK(Notice.FromRevision_ == Revision(5));
  REQUIRE(Notice.Records_.size() == 2);
  CHECK(Notice.Records_.back().Revision_ == Revision(8));
  CHECK(noticeOf(Log, 8, at(seconds(5))).FromRevision_ == Revision(8));
}

TEST_CASE("what does not fit in a message is left out with all before it",
          "[records]") {
  RecordLog Log;
  Log.note(Revision(1), Revision(2), {{"a", "1", Revision(2), false}}, at({}));
  Log.note(Revision(2), Revision(3),
           {{"b", std::string(5'000, 'x'), Revision(3), false}}, at({}));
  const auto Notice = noticeOf(Log, 3, at(milliseconds(1)));
  CHECK(Notice.FromRevision_ == Revision(3));
  CHECK(Notice.Records_.empty());
}

TEST_CASE("a gap in what is known ends the notice", "[records]") {
  RecordLog Log;
  Log.note(Revision(1), Revision(2), {{"a", "1", Revision(2), false}}, at({}));
  CHECK(noticeOf(Log, 4, at(milliseconds(1))).FromRevision_ == Revision(4));
}

TEST_CASE("a large record is put together from its parts in any order",
          "[records]") {
  RecordLog Log;
  std::string Value;
  while (Value.size() < 4'500)
    Value += std::to_string(Value.size());
  Log.note(Revision(2), Revision(4), {{"b", Value, Revision(3), false}},
           at({}));
  const auto Parts = Log.takeNew();
  REQUIRE(Parts.size() == 1);
  REQUIRE_FALSE(RecordLog::fitsInMessage(Parts[0]));
  std::vector<RecordFragment> Pieces = splitRecord(Parts[0]);
  std::reverse(Pieces.begin(), Pieces.end());
  PieceAssembly Assembly;
  std::optional<RecordUpdate> Whole;
  for (const RecordFragment &Piece : Pieces) {
    CHECK_FALSE(Whole);
    CHECK(encodePeerMessage(Piece).size() <= MaxDatagramBytes);
    Whole = Assembly.take(Piece);
    Assembly.take(Piece);
  }
  REQUIRE(Whole);
  CHECK(Whole->FromRevision_ == Revision(2));
  CHECK(Whole->ToRevision_ == Revision(4));
  REQUIRE(Whole->Records_.size() == 1);
  CHECK(std::string(Whole->Records_[0].Value_.begin(),
                    Whole->Records_[0].Value_.end()) == Value);
}

TEST_CASE("a record of too many parts is not split", "[records]") {
  RecordUpdate Notice;
  Notice.Records_.push_back(
      {"b", std::vector<std::uint8_t>(100'000), {}, false});
  CHECK(splitRecord(Notice).empty());
}

TEST_CASE("parts of an older record do not mix with a newer one", "[records]") {
  PieceAssembly Assembly;
  RecordFragment Old{{}, Revision(1), Revision(2), {}, {}, "a", 0, 2, {'x'}};
  RecordFragment New{{}, Revision(2), Revision(3), {}, {}, "a", 1, 2, {'y'}};
  CHECK_FALSE(Assembly.take(Old));
  CHECK_FALSE(Assembly.take(New));
  Old.Index_ = 1;
  CHECK_FALSE(Assembly.take(Old));
  New.Index_ = 0;
  CHECK(Assembly.take(New));
}

TEST_CASE("many changes are told in parts that follow each other",
          "[records]") {
  RecordLog Log;
  std::vector<StoredRecord> Records;
  for (std::uint64_t Number = 11; Number <= 40; ++Number)
    Records.push_back(
        {"servers/i", std::string(200, 'x'), Revision(Number), false});
  Log.note(Revision(10), Revision(42), Records, at({}));
  Revision Reached(10);
  std::size_t Told = 0;
  for (const RecordUpdate &Part : Log.takeNew()) {
    CHECK(Part.FromRevision_ == Reached);
    Reached = Part.ToRevision_;
    Told += Part.Records_.size();
    CHECK(Part.Records_.size() <= 5);
  }
  CHECK(Reached == Revision(42));
  CHECK(Told == 30);
  CHECK(Log.takeNew().empty());
}
