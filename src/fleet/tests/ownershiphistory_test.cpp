#include "fleet/internal/ownershiphistory.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using namespace std::chrono_literals;

namespace {

using Members = std::vector<document::PublishedInstance>;

Members makeMembers(const std::vector<std::string> &Names) {
  Members List;
  for (const std::string &Name : Names) {
    document::PublishedInstance Entry;
    Entry.Name_ = framework::InstanceName(Name);
    List.push_back(Entry);
  }
  return List;
}

framework::Instant at(framework::Duration Time) {
  return framework::Instant(Time);
}

void addEffectiveList(OwnershipHistory &History,
                      const std::vector<std::string> &Names,
                      std::uint64_t Digest, framework::Duration Time) {
  History.addMemberList(makeMembers(Names), framework::Digest(Digest),
                        framework::Revision(Digest));
  History.markEffective(at(Time));
}

bool hasPeriod(const OwnershipHistory &History, const std::string &From,
               framework::Duration Since) {
  const auto Periods = History.allPeriods();
  return std::any_of(
      Periods.begin(), Periods.end(), [&](const OwnershipPeriod &Period) {
        return Period.PreviousOwner_ == framework::InstanceName(From) &&
               Period.Since_ == at(Since);
      });
}

} // namespace

TEST_CASE("an instance that left and returned counts as a new owner",
          "[fleet]") {
  OwnershipHistory History{framework::InstanceName("a")};
  addEffectiveList(History, {"a", "b", "c"}, 1, 1s);
  addEffectiveList(History, {"b", "c"}, 2, 2s);
  addEffectiveList(History, {"a", "b", "c"}, 3, 3s);
  CHECK(hasPeriod(History, "b", 3s));
  CHECK(hasPeriod(History, "c", 3s));
  for (int Subject = 0; Subject < 50; ++Subject) {
    const auto Period = History.currentPeriod(std::to_string(Subject));
    if (Period)
      CHECK(Period->Since_ == at(3s));
  }
}

TEST_CASE("invalidation ends all ownership of an instance", "[fleet]") {
  OwnershipHistory History{framework::InstanceName("a")};
  addEffectiveList(History, {"a"}, 1, 1s);
  REQUIRE(History.currentPeriod("x"));
  CHECK(History.currentPeriod("x")->Digest_ == framework::Digest(1));
  History.invalidateOwnership();
  CHECK_FALSE(History.currentPeriod("x"));
  CHECK_FALSE(History.isEffective());
  History.markEffective(at(5s));
  REQUIRE(History.currentPeriod("x"));
  CHECK(History.currentPeriod("x")->Since_ == at(5s));
  CHECK_FALSE(History.currentPeriod("x")->Digest_);
}
