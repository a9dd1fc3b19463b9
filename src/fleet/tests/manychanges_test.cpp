#include "fleet/tests/seededsimulation.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using framework::Instant;

namespace {

const std::vector<std::string> Zones{"a", "b", "c", "d", "e"};
constexpr int Targets = 719;
constexpr std::size_t StatusChangesPerStep = 24;
constexpr auto StatusInterval = milliseconds(50);

/// A fleet whose store changes as often as the targets of a large deployment
/// write their status.
class BusyStore {
public:
  explicit BusyStore(int Instances) : Fleet_(Instances, Zones, Targets) {
    Fleet_.pass(seconds(3));
  }

  /// Passes time in which targets write their status.
  void pass(framework::Duration Time) {
    const Instant End = Fleet_.Now_.Monotonic_ + Time;
    while (Fleet_.Now_.Monotonic_ < End) {
      for (std::size_t Each = 0; Each < StatusChangesPerStep; ++Each)
        writeStatus();
      Published_[Fleet_.Now_.Monotonic_] = Fleet_.Revision_;
      Fleet_.pass(StatusInterval);
      FalseAges_ += countFalseAges();
    }
  }

  /// Returns how often an instance stated an age at which its view would hold
  /// changes that it lacks.
  std::size_t falseAges() const { return FalseAges_; }

  void writeStatus() {
    Next_ = (Next_ + 1) % Targets;
    if (Next_ < 10)
      return;
    Fleet_.change("t" + std::to_string(Next_),
                  "target " + Zones[static_cast<std::size_t>(Next_) % 5]);
  }

  /// Counts the instances that use the target.
  std::size_t countUsers(const std::string &Target) const {
    return static_cast<std::size_t>(std::count_if(
        Fleet_.Instances_.begin(), Fleet_.Instances_.end(),
        [&](const SeededFleet &Each) {
          const auto Known = Each.view().targets();
          return std::any_of(Known.begin(), Known.end(), [&](const auto &One) {
            return One.Name_.value() == Target && !One.IsDraining_;
          });
        }));
  }

  SeededSimulation Fleet_;

private:
  std::size_t countFalseAges() const {
    return static_cast<std::size_t>(std::count_if(
        Fleet_.Instances_.begin(), Fleet_.Instances_.end(),
        [this](const SeededFleet &Each) {
          const auto Age = Each.view().age(Fleet_.Now_.Monotonic_);
          const auto Next =
              Published_.lower_bound(Fleet_.Now_.Monotonic_ - *Age);
          return Next != Published_.begin() &&
                 Each.view().revision() < std::prev(Next)->second;
        }));
  }

  /// The revisions that the store had reached at the given times.
  std::map<Instant, framework::Revision> Published_;
  std::size_t FalseAges_ = 0;
  int Next_ = 0;
};

} // namespace

TEST_CASE("a part of the changes that an instance missed is not taken for all "
          "of them",
          "[manychanges]") {
  const int Instances = GENERATE(48, 129, 312);
  BusyStore Store(Instances);
  std::set<std::size_t> Away;
  for (std::size_t Index = 0; Index < Store.Fleet_.Instances_.size();
       Index += 3)
    Away.insert(Index);
  Store.Fleet_.turnAway(Away);
  Store.Fleet_.Isolated_ = Away;
  Store.pass(seconds(4));
  Store.Fleet_.change("t1", "target b draining");
  Store.pass(milliseconds(500));
  Store.Fleet_.turnAway({});
  Store.Fleet_.Isolated_.clear();
  Store.pass(MaxChangeDelay / 2);
  CAPTURE(Instances);
  CHECK(Store.falseAges() == 0);
  CHECK(Store.countUsers("t1") == 0);
}

TEST_CASE("an answer that turns out to be whole does not make other instances "
          "read the store",
          "[manychanges]") {
  const int Instances = GENERATE(48, 129, 312);
  BusyStore Store(Instances);
  Store.Fleet_.pass(seconds(3));
  for (std::size_t Each = 0; Each < 400; ++Each)
    Store.writeStatus();
  const int Before = Store.Fleet_.ReadCount_;
  Store.Fleet_.pass(seconds(1));
  CAPTURE(Instances);
  CHECK(Store.Fleet_.staleCount() == 0);
  // The leaders of the zones read on, and watch again.
  CHECK(Store.Fleet_.ReadCount_ - Before <= 5 * static_cast<int>(Zones.size()));
}
