#include "fleet/tests/seededsimulation.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using framework::Duration;
using framework::Instant;

namespace {

constexpr int Targets = 80;
constexpr std::size_t SlowLinkBytesPerMs = 1'250;
/// The largest value that the platform's store holds.
constexpr std::size_t LargestValue = 1'000'000;
/// Versions of this size follow each other no faster.
constexpr Duration VersionInterval = milliseconds(2'600);
constexpr Duration LeaveInterval = milliseconds(500);
constexpr Duration CheckInterval = milliseconds(50);

/// Returns a value that is compressed to a tenth.
std::string makeLargeValue(std::uint64_t Seed) {
  framework::Random Rng(Seed);
  std::string Unique(LargestValue / 10, ' ');
  for (char &Each : Unique)
    Each = static_cast<char>(Rng.index(256));
  std::string Value;
  for (std::size_t At = 0; At < Unique.size(); At += 10)
    for (int Copy = 0; Copy < 10; ++Copy)
      Value += Unique.substr(At, 10);
  return Value;
}

/// Two large versions of the configuration in a row, while targets leave one
/// after the other. All instances have slow links.
class LargeChanges {
public:
  explicit LargeChanges(std::uint64_t Seed)
      : Rng_(Seed), Fleet_(26, {"a", "b"}, Targets),
        Value_(makeLargeValue(Seed)) {
    for (std::size_t Each = 0; Each < Fleet_.Instances_.size(); ++Each)
      Fleet_.LinkBytesPerMs_[Each] = SlowLinkBytesPerMs;
    Fleet_.IsLost_ = [this](std::size_t, const PeerMessage &) {
      return Rng_.index(100) == 0;
    };
    Fleet_.pass(seconds(4) + milliseconds(Rng_.index(1'000)));
  }

  void run() {
    const Instant Start = now();
    Instant NextVersion = Start + seconds(1);
    Instant NextLeave = Start;
    while (now() < Start + seconds(9)) {
      if (now() >= NextVersion && Published_.size() < 2) {
        Fleet_.changeConfiguration(Value_);
        Published_.emplace_back(now(), Fleet_.Version_);
        NextVersion = now() + VersionInterval;
      }
      if (now() >= NextLeave) {
        const std::string Target = "t" + std::to_string(LeftAt_.size());
        Fleet_.change(Target, "target a draining");
        LeftAt_[Target] = now();
        NextLeave = now() + LeaveInterval;
      }
      Fleet_.pass(CheckInterval);
      check();
    }
  }

  /// The longest time for which an instance used a target that had left, or an
  /// older version.
  Duration longestUse() const { return LongestUse_; }
  Duration longestOldVersion() const { return LongestOldVersion_; }

private:
  Instant now() const { return Fleet_.Now_.Monotonic_; }

  void check() {
    for (const SeededFleet &Each : Fleet_.Instances_) {
      for (const auto &[At, Version] : Published_)
        if (Each.view().configuration().Version_ < Version)
          LongestOldVersion_ = std::max(LongestOldVersion_, now() - At);
      for (const PublishedTarget &Target : Each.view().targets()) {
        const auto Left = LeftAt_.find(Target.Name_.value());
        if (Left != LeftAt_.end() && !Target.IsDraining_)
          LongestUse_ = std::max(LongestUse_, now() - Left->second);
      }
    }
  }

  framework::Random Rng_;
  SeededSimulation Fleet_;
  const std::string Value_;
  std::map<std::string, Instant> LeftAt_;
  std::vector<std::pair<Instant, std::uint64_t>> Published_;
  Duration LongestUse_{};
  Duration LongestOldVersion_{};
};

} // namespace

TEST_CASE("a target that leaves is not used on while a large configuration "
          "fills slow links",
          "[largechanges]") {
  for (std::uint64_t Seed = 1; Seed <= 4; ++Seed) {
    LargeChanges Changes(Seed);
    Changes.run();
    CAPTURE(Seed);
    CHECK(Changes.longestUse() < MaxChangeDelay);
  }
}

TEST_CASE("a large configuration is in force in time on slow links",
          "[largechanges]") {
  for (std::uint64_t Seed = 1; Seed <= 4; ++Seed) {
    LargeChanges Changes(Seed);
    Changes.run();
    CAPTURE(Seed);
    CHECK(Changes.longestOldVersion() < MaxChangeDelay);
  }
}
