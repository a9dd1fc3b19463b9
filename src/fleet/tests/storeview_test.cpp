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

/// Values of the test: `target START SEQUENCE [draining]`, `version N`, `zone`.
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

StoredRecord deletion(std::string Key, std::uint64_t At) {
  return {std::move(Key), "", Revision(At), true};
}

struct Fixture {
  StoreView View_{decode, milliseconds(2200)};

  Fixture() {
    View_.replaceAll({put("t1", "target 50 3", 5), put("c", "version 7", 6)},
                     Revision(6), at({}));
  }
};

} // namespace

TEST_CASE("the version of the document never goes back", "[store]") {
  Fixture World;
  CHECK_FALSE(
      World.View_
          .apply({put("c", "version 5", 8)}, Revision(8), at(milliseconds(10)))
          .IsDocumentNew_);
  CHECK(World.View_.configuration().Version_ == 7);
  World.View_.replaceAll({put("c", "version 6", 9)}, Revision(9),
                         at(milliseconds(20)));
  CHECK(World.View_.configuration().Version_ == 7);
  CHECK(World.View_
            .apply({put("c", "version 12", 10)}, Revision(10),
                   at(milliseconds(30)))
            .IsDocumentNew_);
}

TEST_CASE("an entry of an earlier life brings no target back", "[store]") {
  Fixture World;
  World.View_.apply({deletion("t1", 7)}, Revision(7), at(milliseconds(10)));
  CHECK(World.View_.targets().empty());
  const auto Changed = World.View_.apply({put("t1", "target 49 90", 8)},
                                         Revision(8), at(milliseconds(20)));
  CHECK(World.View_.targets().empty());
  CHECK(Changed.Rejected_.size() == 1);
  World.View_.apply({put("t1", "target 50 2", 9)}, Revision(9),
                    at(milliseconds(30)));
  CHECK(World.View_.targets().empty());
  World.View_.apply({put("t1", "target 51 1", 10)}, Revision(10),
                    at(milliseconds(40)));
  CHECK(World.View_.targets().size() == 1);
}

TEST_CASE("a deletion counts at once while the store is dependable",
          "[store]") {
  Fixture World;
  CHECK(
      World.View_.apply({deletion("t1", 7)}, Revision(7), at(milliseconds(900)))
          .AreTargetsNew_);
  CHECK(World.View_.targets().empty());
}

TEST_CASE("entries that were lost with the store may come back", "[store]") {
  Fixture World;
  const Instant Back = at(seconds(5));
  World.View_.replaceAll({put("c", "version 7", 6)}, Revision(20), Back);
  CHECK(World.View_.targets().size() == 1);
  World.View_.apply({}, Revision(20), Back + seconds(1));
  World.View_.advance(Back + seconds(2));
  CHECK(World.View_.targets().size() == 1);

  SECTION("one that is back stays") {
    World.View_.apply({put("t1", "target 50 9", 22)}, Revision(22),
                      Back + milliseconds(2100));
    World.View_.apply({}, Revision(22), Back + milliseconds(2900));
    World.View_.advance(Back + seconds(3));
    CHECK(World.View_.targets().size() == 1);
  }
  SECTION("one that is still missing is gone") {
    World.View_.apply({}, Revision(20), Back + milliseconds(2100));
    CHECK(World.View_.advance(Back + milliseconds(2300)).AreTargetsNew_);
    CHECK(World.View_.targets().empty());
  }
}

TEST_CASE("targets of an evacuated zone count as draining", "[store]") {
  Fixture World;
  World.View_.apply({put("z", "zone", 7)}, Revision(7), at(milliseconds(10)));
  CHECK(World.View_.targets().front().IsDraining_);
  World.View_.apply({deletion("z", 8)}, Revision(8), at(milliseconds(20)));
  CHECK_FALSE(World.View_.targets().front().IsDraining_);
}

TEST_CASE("an unreadable entry is told once and harms no other", "[store]") {
  Fixture World;
  CHECK(World.View_.apply({put("x", "?", 7)}, Revision(7), at(milliseconds(10)))
            .Rejected_.size() == 1);
  CHECK(
      World.View_.apply({put("x", "??", 8)}, Revision(8), at(milliseconds(20)))
          .Rejected_.empty());
  CHECK(World.View_.targets().size() == 1);
}

TEST_CASE("a neighbour's older evidence does not make the view younger",
          "[store]") {
  Fixture World;
  World.View_.apply({}, Revision(6), at(milliseconds(500)));
  World.View_.apply({}, Revision(6), at(milliseconds(300)));
  CHECK(World.View_.age(at(milliseconds(600))) == Duration(milliseconds(100)));
}
