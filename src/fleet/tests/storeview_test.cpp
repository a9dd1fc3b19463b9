#include "fleet/internal/seeded/storeview.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using framework::Duration;
using framework::Instant;
using framework::Revision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Instant at(Duration Time) { return Instant(seconds(100)) + Time; }

/// Decodes the values `target START SEQUENCE [draining]`, `version N` and
/// `zone`; rejects all others.
PublishedItem decode(const std::string &Key, const std::string &Value) {
  if (Value.starts_with("version ")) {
    PublishedConfiguration Item;
    Item.Version_ = std::stoull(Value.substr(8));
    Item.Document_ = std::make_shared<document::EnvironmentDocument>();
    return Item;
  }
  if (Value.starts_with("target ")) {
    PublishedTarget Item;
    std::size_t Used = 0;
    Item.Name_ = framework::TargetName(Key);
    Item.Zone_ = framework::ZoneName("a");
    Item.Start_ = framework::Incarnation(std::stoull(Value.substr(7), &Used));
    Item.Sequence_ = std::stoull(Value.substr(7 + Used));
    Item.IsDraining_ = Value.ends_with("draining");
    return Item;
  }
  if (Value == "zone")
    return EvacuatedZone{framework::ZoneName("a")};
  return UnreadableRecord{"unknown value"};
}

StoredRecord put(std::string Key, std::string Value, std::uint64_t At) {
  return {std::move(Key), std::move(Value), Revision(At), false};
}

StoredRecord deleted(std::string Key, std::uint64_t At) {
  return {std::move(Key), "", Revision(At), true};
}

struct Fixture {
  StoreView View_{decode, FleetBounds{}};

  Fixture() {
    View_.replaceAll({put("t1", "target 50 3", 5), put("c", "version 7", 6)},
                     Revision(6), at({}));
  }
};

} // namespace

TEST_CASE("the version of the document never goes back", "[store]") {
  Fixture Test;
  CHECK_FALSE(
      Test.View_
          .apply({put("c", "version 5", 8)}, Revision(8), at(milliseconds(10)))
          .IsDocumentChanged_);
  CHECK(Test.View_.configuration().Version_ == 7);
  Test.View_.replaceAll({put("c", "version 6", 9)}, Revision(9),
                        at(milliseconds(20)));
  CHECK(Test.View_.configuration().Version_ == 7);
  CHECK(Test.View_
            .apply({put("c", "version 12", 10)}, Revision(10),
                   at(milliseconds(30)))
            .IsDocumentChanged_);
}

TEST_CASE("a record of an earlier start does not restore a target", "[store]") {
  Fixture Test;
  Test.View_.apply({deleted("t1", 7)}, Revision(7), at(milliseconds(10)));
  CHECK(Test.View_.targets().empty());
  const auto Changed = Test.View_.apply({put("t1", "target 49 90", 8)},
                                        Revision(8), at(milliseconds(20)));
  CHECK(Test.View_.targets().empty());
  CHECK(Changed.Rejected_.size() == 1);
  Test.View_.apply({put("t1", "target 50 2", 9)}, Revision(9),
                   at(milliseconds(30)));
  CHECK(Test.View_.targets().empty());
  Test.View_.apply({put("t1", "target 51 1", 10)}, Revision(10),
                   at(milliseconds(40)));
  CHECK(Test.View_.targets().size() == 1);
}

TEST_CASE("a deletion takes effect at once while the store is available",
          "[store]") {
  Fixture Test;
  CHECK(Test.View_.apply({deleted("t1", 7)}, Revision(7), at(milliseconds(900)))
            .AreTargetsChanged_);
  CHECK(Test.View_.targets().empty());
}

TEST_CASE("a deletion takes effect at once after a gap in which the store "
          "cannot have lost records",
          "[store]") {
  Fixture Test;
  CHECK(
      Test.View_.apply({deleted("t1", 7)}, Revision(7), at(milliseconds(2400)))
          .AreTargetsChanged_);
  CHECK(Test.View_.targets().empty());
}

TEST_CASE("records that were lost in an outage may be written again",
          "[store]") {
  Fixture Test;
  const Instant RecoveredAt = at(seconds(5));
  Test.View_.replaceAll({put("c", "version 7", 6)}, Revision(20), RecoveredAt);
  CHECK(Test.View_.targets().size() == 1);
  Test.View_.apply({}, Revision(20), RecoveredAt + seconds(1));
  Test.View_.expireMissing(RecoveredAt + seconds(2));
  CHECK(Test.View_.targets().size() == 1);

  SECTION("written again") {
    Test.View_.apply({put("t1", "target 50 9", 22)}, Revision(22),
                     RecoveredAt + milliseconds(2100));
    Test.View_.apply({}, Revision(22), RecoveredAt + milliseconds(2900));
    Test.View_.expireMissing(RecoveredAt + seconds(3));
    CHECK(Test.View_.targets().size() == 1);
  }
  SECTION("still missing") {
    Test.View_.apply({}, Revision(20), RecoveredAt + milliseconds(2100));
    CHECK(Test.View_.expireMissing(RecoveredAt + milliseconds(2300))
              .AreTargetsChanged_);
    CHECK(Test.View_.targets().empty());
  }
}

TEST_CASE(
    "a target counts as unconfirmed from when its record is missing until "
    "it is written again",
    "[store]") {
  Fixture Test;
  CHECK_FALSE(Test.View_.targets().at(0).IsUnconfirmed_);
  CHECK(Test.View_.apply({deleted("t1", 7)}, Revision(7), at(seconds(5)))
            .AreTargetsChanged_);
  CHECK(Test.View_.targets().at(0).IsUnconfirmed_);
  CHECK(Test.View_
            .apply({put("t1", "target 50 9", 8)}, Revision(8),
                   at(milliseconds(5'100)))
            .AreTargetsChanged_);
  CHECK_FALSE(Test.View_.targets().at(0).IsUnconfirmed_);
}

TEST_CASE("a full read that is older than the view does not undo changes",
          "[store]") {
  Fixture Test;
  // Other instances have sent these while the store was being read.
  Test.View_.apply(
      {deleted("t1", 7), put("t2", "target 50 1", 8), put("z", "zone", 9)},
      Revision(9), at(milliseconds(10)));
  Test.View_.replaceAll({put("t1", "target 50 3", 5), put("c", "version 7", 6)},
                        Revision(6), at(milliseconds(20)));
  const auto Targets = Test.View_.targets();
  REQUIRE(Targets.size() == 1);
  CHECK(Targets.front().Name_ == framework::TargetName("t2"));
  CHECK(Targets.front().IsDraining_);
}

TEST_CASE("a zone that is taken out and a target that is removed between the "
          "pages of a stale read are not missed",
          "[store]") {
  StoreView View(decode, FleetBounds{});
  // The first page, with the document, is of revision 6, the second of 20.
  View.replaceAllStale({put("c", "version 7", 6), put("t1", "target 50 3", 5),
                        put("t2", "target 50 3", 20)},
                       Revision(6), at({}));
  CHECK(View.revision() == Revision(6));
  View.apply(
      {put("z", "zone", 8), deleted("t1", 9), put("t2", "target 50 3", 20)},
      Revision(20), at(milliseconds(10)));
  REQUIRE(View.targets().size() == 1);
  CHECK(View.targets()[0].Name_ == framework::TargetName("t2"));
  CHECK(View.targets()[0].IsDraining_);
}

TEST_CASE("a zone that is taken out and a target that is removed between the "
          "pages of a full read are not missed",
          "[store]") {
  Fixture Test;
  // The revision is that of the first page; the second one is newer.
  Test.View_.replaceAll({put("c", "version 7", 6), put("t1", "target 50 3", 5),
                         put("t2", "target 50 3", 20)},
                        Revision(7), at(milliseconds(10)));
  CHECK(Test.View_.revision() == Revision(7));
  Test.View_.apply(
      {put("z", "zone", 8), deleted("t1", 9), put("t2", "target 50 3", 20)},
      Revision(20), at(milliseconds(20)));
  REQUIRE(Test.View_.targets().size() == 1);
  CHECK(Test.View_.targets()[0].Name_ == framework::TargetName("t2"));
  CHECK(Test.View_.targets()[0].IsDraining_);
}

TEST_CASE("a full read whose first page is older than an update of another "
          "instance does not undo the update",
          "[store]") {
  Fixture Test;
  Test.View_.apply({put("c", "version 9", 30), deleted("t1", 31)}, Revision(31),
                   at(milliseconds(10)));
  Test.View_.replaceAll({put("c", "version 7", 6), put("t1", "target 50 3", 5),
                         put("t2", "target 50 3", 40)},
                        Revision(12), at(milliseconds(20)));
  CHECK(Test.View_.configuration().Version_ == 9);
  REQUIRE(Test.View_.targets().size() == 1);
  CHECK(Test.View_.targets()[0].Name_ == framework::TargetName("t2"));
  CHECK(Test.View_.revision() == Revision(31));
}

TEST_CASE("targets of an evacuated zone count as draining", "[store]") {
  Fixture Test;
  Test.View_.apply({put("z", "zone", 7)}, Revision(7), at(milliseconds(10)));
  CHECK(Test.View_.targets().front().IsDraining_);
  Test.View_.apply({deleted("z", 8)}, Revision(8), at(milliseconds(20)));
  CHECK_FALSE(Test.View_.targets().front().IsDraining_);
}

TEST_CASE("an unreadable record is reported once and affects no other",
          "[store]") {
  Fixture Test;
  CHECK(Test.View_.apply({put("x", "?", 7)}, Revision(7), at(milliseconds(10)))
            .Rejected_.size() == 1);
  CHECK(Test.View_.apply({put("x", "??", 8)}, Revision(8), at(milliseconds(20)))
            .Rejected_.empty());
  CHECK(Test.View_.targets().size() == 1);
}

TEST_CASE("an answer from before a known change does not make the view fresher",
          "[store]") {
  Fixture Test;
  Test.View_.apply({deleted("t1", 8)}, Revision(8), at(milliseconds(100)));
  Test.View_.apply({}, Revision(7), at(milliseconds(500)));
  CHECK(Test.View_.age(at(milliseconds(600))) == Duration(milliseconds(500)));
  CHECK(Test.View_.revision() == Revision(8));
}

TEST_CASE("an older update from a peer does not make the view fresher",
          "[store]") {
  Fixture Test;
  Test.View_.apply({}, Revision(6), at(milliseconds(500)));
  Test.View_.apply({}, Revision(6), at(milliseconds(300)));
  CHECK(Test.View_.age(at(milliseconds(600))) == Duration(milliseconds(100)));
}

TEST_CASE("a view that is replaced by another history takes lower versions and "
          "earlier registrations, and drops what that does not hold",
          "[store]") {
  Fixture Test;
  Test.View_.apply({put("z", "zone", 7), put("t2", "target 60 1", 8)},
                   Revision(8), at(milliseconds(10)));
  const std::vector<StoredRecord> Other{put("t1", "target 40 1", 2),
                                        put("c", "version 5", 3)};
  CHECK(Test.View_.findContradicted(Other, Revision(8)));
  const auto Changed =
      Test.View_.reset(Other, Revision(4), at(milliseconds(20)));
  CHECK(Changed.IsDocumentChanged_);
  CHECK(Changed.Removed_ == std::vector<std::string>{"t2"});
  CHECK(Test.View_.revision() == Revision(4));
  CHECK(Test.View_.configuration().Version_ == 5);
  CHECK(Test.View_.configurationRevision() == Revision(3));
  REQUIRE(Test.View_.targets().size() == 1);
  CHECK(Test.View_.targets().front().Start_ == framework::Incarnation(40));
  CHECK_FALSE(Test.View_.targets().front().IsDraining_);
  CHECK_FALSE(Test.View_.findContradicted(Other, Revision(4)));
  // From then on versions only grow again.
  Test.View_.apply({put("c", "version 4", 5)}, Revision(5),
                   at(milliseconds(30)));
  CHECK(Test.View_.configuration().Version_ == 5);
}

TEST_CASE("a replaced view without a configuration takes the next one",
          "[store]") {
  Fixture Test;
  Test.View_.reset({}, Revision(2), at(milliseconds(10)));
  CHECK(Test.View_.configuration().Version_ == 7);
  const StoredRecord Unreadable = put("c", "?", 3);
  Test.View_.apply({Unreadable}, Revision(3), at(milliseconds(20)));
  CHECK_FALSE(Test.View_.isRefusedConfiguration(Unreadable));
  Test.View_.apply({put("c", "version 3", 4)}, Revision(4),
                   at(milliseconds(30)));
  CHECK(Test.View_.configuration().Version_ == 3);
}

TEST_CASE("a later record, and one that became known during the read, do not "
          "contradict the view",
          "[store]") {
  Fixture Test;
  const std::vector<StoredRecord> Records{put("t1", "target 50 4", 7),
                                          put("c", "version 7", 6)};
  CHECK_FALSE(Test.View_.findContradicted(Records, Revision(6)));
  Test.View_.apply({put("c", "version 9", 9)}, Revision(9),
                   at(milliseconds(10)));
  CHECK_FALSE(Test.View_.findContradicted(Records, Revision(8)));
  CHECK(Test.View_.findContradicted(Records, Revision(9)));
  // The same version with other content, written later.
  CHECK(Test.View_.findContradicted({put("c", "version 9 ", 10)}, Revision(9)));
}
