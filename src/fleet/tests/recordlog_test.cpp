#include "fleet/internal/seeded/recordlog.h"
#include "fleet/internal/seeded/recordreassembler.h"
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

RecordUpdate makeUpdate(RecordLog &Log, std::uint64_t ToRevision, Instant Now) {
  RecordUpdate Update;
  Update.ToRevision_ = Revision(ToRevision);
  Log.addRecent(Update, Now);
  return Update;
}

} // namespace

TEST_CASE("recent changes are sent repeatedly, with those before them",
          "[records]") {
  RecordLog Log;
  Log.append(Revision(5), Revision(6), {{"a", "1", Revision(6), false}},
             at({}));
  Log.append(Revision(6), Revision(8), {{"a", "2", Revision(8), false}},
             at(milliseconds(100)));
  const auto Update = makeUpdate(Log, 8, at(milliseconds(200)));
  CHECK(Update.FromRevision_ == Revision(5));
  REQUIRE(Update.Records_.size() == 2);
  CHECK(Update.Records_.back().Revision_ == Revision(8));
  CHECK(makeUpdate(Log, 8, at(seconds(5))).FromRevision_ == Revision(8));
}

TEST_CASE(
    "a change that does not fit in a message is left out with all before it",
    "[records]") {
  RecordLog Log;
  Log.append(Revision(1), Revision(2), {{"a", "1", Revision(2), false}},
             at({}));
  Log.append(Revision(2), Revision(3),
             {{"b", std::string(5'000, 'x'), Revision(3), false}}, at({}));
  const auto Update = makeUpdate(Log, 3, at(milliseconds(1)));
  CHECK(Update.FromRevision_ == Revision(3));
  CHECK(Update.Records_.empty());
}

TEST_CASE("an update contains no changes before a gap", "[records]") {
  RecordLog Log;
  Log.append(Revision(1), Revision(2), {{"a", "1", Revision(2), false}},
             at({}));
  CHECK(makeUpdate(Log, 4, at(milliseconds(1))).FromRevision_ == Revision(4));
}

TEST_CASE("a large record is reassembled from fragments in any order",
          "[records]") {
  RecordLog Log;
  std::string Value;
  while (Value.size() < 4'500)
    Value += std::to_string(Value.size());
  Log.append(Revision(2), Revision(4), {{"b", Value, Revision(3), false}},
             at({}));
  const auto Updates = Log.takeUnsent();
  REQUIRE(Updates.size() == 1);
  REQUIRE_FALSE(RecordLog::fitsInMessage(Updates[0]));
  std::vector<RecordFragment> Fragments = splitRecord(Updates[0]);
  std::reverse(Fragments.begin(), Fragments.end());
  RecordReassembler Reassembler;
  std::optional<RecordUpdate> Reassembled;
  for (const RecordFragment &Fragment : Fragments) {
    CHECK_FALSE(Reassembled);
    CHECK(encodePeerMessage(Fragment).size() <= MaxDatagramBytes);
    Reassembled = Reassembler.add(Fragment);
    Reassembler.add(Fragment);
  }
  REQUIRE(Reassembled);
  CHECK(Reassembled->FromRevision_ == Revision(2));
  CHECK(Reassembled->ToRevision_ == Revision(4));
  REQUIRE(Reassembled->Records_.size() == 1);
  CHECK(std::string(Reassembled->Records_[0].Value_.begin(),
                    Reassembled->Records_[0].Value_.end()) == Value);
}

TEST_CASE("a record that needs too many fragments is not split", "[records]") {
  RecordUpdate Update;
  Update.Records_.push_back(
      {"b", std::vector<std::uint8_t>(100'000), {}, false});
  CHECK(splitRecord(Update).empty());
}

TEST_CASE("fragments of an older record do not mix with a newer one",
          "[records]") {
  RecordReassembler Reassembler;
  RecordFragment Old{{}, Revision(1), Revision(2), {}, {}, "a", 0, 2, {'x'}};
  RecordFragment New{{}, Revision(2), Revision(3), {}, {}, "a", 1, 2, {'y'}};
  CHECK_FALSE(Reassembler.add(Old));
  CHECK_FALSE(Reassembler.add(New));
  Old.Index_ = 1;
  CHECK_FALSE(Reassembler.add(Old));
  New.Index_ = 0;
  CHECK(Reassembler.add(New));
}

TEST_CASE("many changes are sent in consecutive updates", "[records]") {
  RecordLog Log;
  std::vector<StoredRecord> Records;
  for (std::uint64_t Number = 11; Number <= 40; ++Number)
    Records.push_back(
        {"servers/i", std::string(200, 'x'), Revision(Number), false});
  Log.append(Revision(10), Revision(42), Records, at({}));
  Revision Reached(10);
  std::size_t RecordCount = 0;
  for (const RecordUpdate &Update : Log.takeUnsent()) {
    CHECK(Update.FromRevision_ == Reached);
    Reached = Update.ToRevision_;
    RecordCount += Update.Records_.size();
    CHECK(Update.Records_.size() <= 5);
  }
  CHECK(Reached == Revision(42));
  CHECK(RecordCount == 30);
  CHECK(Log.takeUnsent().empty());
}
