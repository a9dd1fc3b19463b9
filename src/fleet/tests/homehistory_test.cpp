#include "fleet/internal/homehistory.h"

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

void hold(HomeHistory &History, const std::vector<std::string> &Names,
          std::uint64_t Digest, framework::Duration Time) {
  History.noteMembers(makeMembers(Names), framework::Digest(Digest),
                      framework::Revision(Digest));
  History.noteSettled(at(Time));
}

bool hasGain(const HomeHistory &History, const std::string &From,
             framework::Duration Since) {
  const auto All = History.allTenures();
  return std::any_of(All.begin(), All.end(), [&](const Tenure &Item) {
    return Item.HomeBefore_ == framework::InstanceName(From) &&
           Item.Since_ == at(Since);
  });
}

} // namespace

TEST_CASE("an instance that left and came back counts as a new home",
          "[fleet]") {
  HomeHistory History{framework::InstanceName("a")};
  hold(History, {"a", "b", "c"}, 1, 1s);
  hold(History, {"b", "c"}, 2, 2s);
  hold(History, {"a", "b", "c"}, 3, 3s);
  CHECK(hasGain(History, "b", 3s));
  CHECK(hasGain(History, "c", 3s));
  for (int Subject = 0; Subject < 50; ++Subject) {
    const auto Item = History.tenure(std::to_string(Subject));
    if (Item)
      CHECK(Item->Since_ == at(3s));
  }
}

TEST_CASE("a lapse ends what an instance was home of", "[fleet]") {
  HomeHistory History{framework::InstanceName("a")};
  hold(History, {"a"}, 1, 1s);
  REQUIRE(History.tenure("x"));
  CHECK(History.tenure("x")->Digest_ == framework::Digest(1));
  History.noteLapse();
  CHECK_FALSE(History.tenure("x"));
  CHECK_FALSE(History.isSettled());
  History.noteSettled(at(5s));
  REQUIRE(History.tenure("x"));
  CHECK(History.tenure("x")->Since_ == at(5s));
  CHECK_FALSE(History.tenure("x")->Digest_);
}
