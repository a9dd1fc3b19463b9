#include "fleet/internal/seeded/recordreassembler.h"
#include "fleet/internal/seeded/recordtable.h"
#include "fleet/peercodec.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using framework::Revision;

namespace {

RecordTable makeTable(const std::vector<StoredRecord> &Records) {
  RecordTable Table;
  for (const StoredRecord &Each : Records)
    Table.put(Each);
  return Table;
}

} // namespace

TEST_CASE("recent changes are sent repeatedly, with those before them",
          "[records]") {
  const RecordTable Table = makeTable(
      {{"a", "1", Revision(6), false}, {"b", "2", Revision(8), false}});
  const auto Update = Table.lastUpdate(Revision(5), Revision(8));
  CHECK(Update.FromRevision_ <= Revision(5));
  CHECK(Update.ToRevision_ == Revision(8));
  REQUIRE(Update.Records_.size() == 2);
  CHECK(Update.Records_.back().Revision_ == Revision(8));
  CHECK(Table.lastUpdate(Revision(8), Revision(8)).FromRevision_ ==
        Revision(8));
}

TEST_CASE(
    "a change that does not fit in a message is left out with all before it",
    "[records]") {
  const RecordTable Table =
      makeTable({{"a", "1", Revision(2), false},
                 {"b", std::string(5'000, 'x'), Revision(3), false},
                 {"c", "1", Revision(4), false}});
  const auto Last = Table.lastUpdate(Revision(1), Revision(4));
  CHECK(Last.FromRevision_ == Revision(3));
  CHECK(Last.Records_.size() == 1);
  const auto Update = Table.lastUpdate(Revision(1), Revision(3));
  CHECK(Update.FromRevision_ == Revision(3));
  CHECK(Update.Records_.empty());
}

TEST_CASE("an update does not lead from before the revision since which all "
          "changes are known",
          "[records]") {
  RecordTable Table = makeTable({{"a", "1", Revision(2), false}});
  Table.setCompleteSince(Revision(4));
  Table.put({"b", "1", Revision(6), false});
  CHECK(Table.lastUpdate(Revision(5), Revision(6)).FromRevision_ ==
        Revision(4));
  CHECK(Table.updatesAfter(Revision(5), Revision(6)).front().FromRevision_ ==
        Revision(4));
}

TEST_CASE("a change that a later one has replaced is not sent", "[records]") {
  const RecordTable Table = makeTable({{"a", "1", Revision(2), false},
                                       {"c", "1", Revision(3), false},
                                       {"a", "2", Revision(5), false},
                                       {"c", "", Revision(6), true}});
  const auto Updates = Table.updatesAfter(Revision(1), Revision(7));
  REQUIRE(Updates.size() == 1);
  REQUIRE(Updates[0].Records_.size() == 2);
  CHECK(Updates[0].Records_[0].Revision_ == Revision(5));
  CHECK(Updates[0].Records_[1].IsDeleted_);
  // Who has missed only replaced changes can apply it.
  CHECK(Table.updatesAfter(Revision(5), Revision(7))[0].FromRevision_ ==
        Revision(5));
}

TEST_CASE("records of one revision are not lost between two updates",
          "[records]") {
  RecordTable Table;
  for (int Number = 0; Number < 100; ++Number)
    Table.put({"servers/" + std::to_string(Number), "", Revision(9), true});
  const auto Updates = Table.updatesAfter(Revision(5), Revision(9));
  REQUIRE(Updates.size() > 1);
  for (std::size_t Index = 0; Index + 1 < Updates.size(); ++Index)
    CHECK(Updates[Index].ToRevision_ < Revision(9));
  CHECK(Updates.back().ToRevision_ == Revision(9));
}

TEST_CASE("a large record is reassembled from fragments in any order",
          "[records]") {
  std::string Value;
  while (Value.size() < 4'500)
    Value += std::to_string(Value.size());
  const RecordTable Table = makeTable(
      {{"a", "1", Revision(2), false}, {"b", Value, Revision(3), false}});
  const auto Updates = Table.updatesAfter(Revision(2), Revision(4));
  REQUIRE(Updates.size() == 1);
  REQUIRE_FALSE(RecordTable::fitsInMessage(Updates[0]));
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
  RecordTable Table;
  for (std::uint64_t Number = 11; Number <= 40; ++Number)
    Table.put({"servers/" + std::to_string(Number), std::string(200, 'x'),
               Revision(Number), false});
  Revision Reached(10);
  std::size_t RecordCount = 0;
  for (const RecordUpdate &Update :
       Table.updatesAfter(Revision(10), Revision(42))) {
    CHECK(Update.FromRevision_ <= Reached);
    Reached = Update.ToRevision_;
    RecordCount += Update.Records_.size();
    CHECK(Update.Records_.size() <= 5);
  }
  CHECK(Reached == Revision(42));
  CHECK(RecordCount == 30);
}
