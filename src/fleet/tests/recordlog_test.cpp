#include "fleet/internal/seeded/recordlog.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using framework::Instant;
using framework::Revision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Instant at(framework::Duration Time) { return Instant(seconds(100)) + Time; }

RecordNotice noticeOf(RecordLog &Log, std::uint64_t AsOf, Instant Now) {
  RecordNotice Notice;
  Notice.AsOf_ = Revision(AsOf);
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
  CHECK(Notice.After_ == Revision(5));
  REQUIRE(Notice.Records_.size() == 2);
  CHECK(Notice.Records_.back().Revision_ == Revision(8));
  CHECK(noticeOf(Log, 8, at(seconds(5))).After_ == Revision(8));
}

TEST_CASE("what does not fit in a message is left out with all before it",
          "[records]") {
  RecordLog Log;
  Log.note(Revision(1), Revision(2), {{"a", "1", Revision(2), false}}, at({}));
  Log.note(Revision(2), Revision(3),
           {{"b", std::string(5'000, 'x'), Revision(3), false}}, at({}));
  const auto Notice = noticeOf(Log, 3, at(milliseconds(1)));
  CHECK(Notice.After_ == Revision(3));
  CHECK(Notice.Records_.empty());
}

TEST_CASE("a gap in what is known ends the notice", "[records]") {
  RecordLog Log;
  Log.note(Revision(1), Revision(2), {{"a", "1", Revision(2), false}}, at({}));
  CHECK(noticeOf(Log, 4, at(milliseconds(1))).After_ == Revision(4));
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
  for (const RecordNotice &Part : Log.takeNew()) {
    CHECK(Part.After_ == Reached);
    Reached = Part.AsOf_;
    Told += Part.Records_.size();
    CHECK(Part.Records_.size() <= 5);
  }
  CHECK(Reached == Revision(42));
  CHECK(Told == 30);
  CHECK(Log.takeNew().empty());
}
