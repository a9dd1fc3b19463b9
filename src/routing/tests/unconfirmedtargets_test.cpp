#include "routing/policies/randompolicy.h"
#include "routing/targettable.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace cranberryspool;
using namespace cranberryspool::framework;
using namespace cranberryspool::routing;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t TargetCount = 8;
constexpr std::uint32_t ServiceCount = 2;

/// Changes the list and the load of a table at random and keeps beside it what
/// each target may take.
class RandomChanges {
public:
  explicit RandomChanges(std::uint64_t Seed) : Rng_(Seed) {}

  void step() {
    Now_ += milliseconds(1);
    if (Listed_.empty() || Rng_.index(3) == 0)
      changeList();
    else if (const auto Target = TargetId(any(TargetCount));
             Table_.inFlight(Target) > 0)
      Table_.recordEnded(Target, AttemptResult::Answered, milliseconds(1),
                         Now_);
    else if (mayTake(Target))
      Table_.recordSent(Target, Now_);
  }

  /// Compares the choice for a random request with the targets that are listed.
  void checkChoice() {
    SelectionRequest Request{ServiceId(any(ServiceCount))};
    Request.MayRepeat_ = any(2) == 0;
    Request.IsOptional_ = any(2) == 0;
    for (std::uint32_t Index = 0; Index < TargetCount; ++Index)
      if (any(2) == 0)
        Request.Excluded_.push_back(TargetId(Index));
    constexpr int None = 4;
    int Best = None;
    for (const auto &[Target, Description] : Listed_)
      Best = std::min(Best, rank(Target, Request).value_or(None));
    const auto Chosen = Table_.choose(Request, Now_);
    REQUIRE(Chosen.has_value() == (Best < None));
    if (Chosen)
      CHECK(rank(*Chosen, Request) == Best);
  }

  /// Checks that each target that may take an attempt can be chosen.
  void checkEach() {
    for (const auto &[Target, Description] : Listed_) {
      SelectionRequest Request{Description.Service_};
      for (std::uint32_t Index = 0; Index < TargetCount; ++Index)
        if (TargetId(Index) != Target)
          Request.Excluded_.push_back(TargetId(Index));
      CHECK((Table_.choose(Request, Now_) == Target) == mayTake(Target));
    }
  }

private:
  std::uint32_t any(std::size_t Count) {
    return static_cast<std::uint32_t>(Rng_.index(Count));
  }

  void changeList() {
    Listed_.clear();
    std::vector<TargetDescription> Targets;
    for (std::uint32_t Index = 0; Index < TargetCount; ++Index) {
      if (any(5) == 0)
        continue;
      TargetDescription Each;
      Each.Target_ = TargetId(Index);
      Each.Service_ = ServiceId(any(ServiceCount));
      Each.IsLeaving_ = any(5) == 0;
      Each.WarmupLeft_ = Duration{};
      Each.IsUnconfirmed_ = any(2) == 0;
      Targets.push_back(Each);
      Listed_[Each.Target_] = Each;
    }
    Table_.setTargets(Targets, Now_);
    TargetLimits Limits;
    Limits.MaxConnections_ = 1;
    for (const TargetDescription &Each : Targets)
      Table_.setLimits(Each.Target_, Limits);
  }

  bool mayTake(TargetId Target) const {
    const auto Found = Listed_.find(Target);
    return Found != Listed_.end() && !Found->second.IsLeaving_ &&
           Table_.inFlight(Target) == 0;
  }

  /// Returns the place of a target in the order of choice.
  std::optional<int> rank(TargetId Target,
                          const SelectionRequest &Request) const {
    if (!mayTake(Target) || Listed_.at(Target).Service_ != Request.Service_)
      return std::nullopt;
    const bool IsExcluded = std::ranges::count(Request.Excluded_, Target) > 0;
    const bool IsUnconfirmed = Listed_.at(Target).IsUnconfirmed_;
    if ((IsExcluded && !Request.MayRepeat_) ||
        (IsUnconfirmed && Request.IsOptional_))
      return std::nullopt;
    return (IsUnconfirmed ? 2 : 0) + (IsExcluded ? 1 : 0);
  }

  Random Rng_;
  TargetTable<RandomPolicy> Table_{ZoneId(0), RandomPolicy(), Random(7)};
  std::map<TargetId, TargetDescription> Listed_;
  Instant Now_{std::chrono::seconds(100)};
};

} // namespace

TEST_CASE("no change of targets between listed, confirmed and in use makes the "
          "choice forget or repeat a target",
          "[unconfirmed]") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    INFO("seed " << Seed);
    RandomChanges Changes(Seed);
    for (int Step = 0; Step < 500; ++Step) {
      Changes.step();
      Changes.checkChoice();
      Changes.checkEach();
    }
  }
}
