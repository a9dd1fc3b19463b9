#include "capacity/demandtable.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::capacity;
using std::chrono::milliseconds;

namespace {

const framework::InstanceName Peer("entry-1");
const framework::ServiceName Service("s");
constexpr framework::Instant Start{std::chrono::seconds(100)};

DemandUpdate makeUpdate(std::uint64_t Incarnation, std::uint64_t Sequence,
                        std::uint32_t Calls) {
  return DemandUpdate{
      Peer, framework::Incarnation(Incarnation), Sequence, {{Service, Calls}}};
}

} // namespace

// Guards against messages that are duplicated or overtake each other.
TEST_CASE("an older or repeated update changes nothing", "[capacity]") {
  DemandTable Table;
  CHECK_FALSE(Table.record(makeUpdate(2, 5, 7), Start));
  CHECK_FALSE(Table.record(makeUpdate(2, 4, 9), Start));
  CHECK_FALSE(Table.record(makeUpdate(2, 5, 9), Start));
  CHECK_FALSE(Table.record(makeUpdate(1, 8, 9), Start));
  CHECK(Table.demand(Peer, Service, Start) == 7U);
  CHECK_FALSE(Table.record(makeUpdate(3, 1, 9), Start));
  CHECK(Table.demand(Peer, Service, Start) == 9U);
}

// Guards against decisions by figures of a peer that is frozen or gone.
TEST_CASE("a figure that is not renewed becomes unknown", "[capacity]") {
  DemandTable Table;
  CHECK_FALSE(Table.demand(Peer, Service, Start));
  CHECK_FALSE(Table.record(makeUpdate(1, 1, 7), Start));
  CHECK(Table.demand(Peer, framework::ServiceName("other"), Start) == 0U);
  CHECK(Table.demand(Peer, Service, Start + DemandTable::Lifetime));
  const auto Later = Start + DemandTable::Lifetime + milliseconds(1);
  CHECK_FALSE(Table.demand(Peer, Service, Later));
}

// Guards against a faulty peer that takes the slots of others.
TEST_CASE("impossible figures are rejected and change nothing", "[capacity]") {
  DemandTable Table;
  CHECK_FALSE(Table.record(makeUpdate(1, 1, 7), Start));
  CHECK(Table.record(makeUpdate(1, 2, DemandTable::MaxCalls + 1), Start));
  DemandUpdate Twice = makeUpdate(1, 3, 1);
  Twice.Services_.push_back({Service, 2});
  CHECK(Table.record(Twice, Start));
  DemandUpdate TooMany = makeUpdate(1, 4, 1);
  TooMany.Services_.resize(DemandUpdate::MaxServices + 1);
  CHECK(Table.record(TooMany, Start));
  CHECK(Table.demand(Peer, Service, Start) == 7U);
}
