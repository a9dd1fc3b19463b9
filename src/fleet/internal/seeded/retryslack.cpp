// The share of an instance of the retries that all instances may make together.

#include "fleet/internal/seeded/seededfleet.h"

#include <algorithm>

namespace cranberryspool::fleet {

namespace {

using framework::Instant;

/// An instance uses at most this much of the retry slack. One that hears few
/// others may be in a part of the fleet that has seeds of its own.
constexpr double MaxRetrySlack = 4.3;
/// The most that an instance uses that knows no other, or whose process is new.
constexpr double SmallRetrySlack = 1;

} // namespace

bool SeededFleet::isRetryWindowOver(Instant Now) const {
  return Now >= StartedAt_ + Seeds_.Bounds_.RetryWindow_;
}

std::size_t SeededFleet::countReachedSeeds() const {
  const auto IsReached = [this](const std::string &Seed) {
    const auto HasAddress = [&Seed](const auto &Each) {
      return Each.second.Info_.Address_ == Seed;
    };
    const auto &Members = Membership_.members();
    return Seed == Membership_.self().Address_ ||
           std::any_of(Members.begin(), Members.end(), HasAddress);
  };
  return static_cast<std::size_t>(std::count_if(
      Seeds_.Addresses_.begin(), Seeds_.Addresses_.end(), IsReached));
}

double SeededFleet::retrySlack(Instant Now) const {
  const double Slack = Seeds_.Bounds_.RetrySlack_;
  const double SmallSlack = std::min(Slack, SmallRetrySlack);
  // An instance that knows no other may be one of many that have just started.
  if (Membership_.knownCount() == 1 || Seeds_.Addresses_.empty())
    return SmallSlack;
  const double ReachedSeeds = static_cast<double>(countReachedSeeds()) /
                              static_cast<double>(Seeds_.Addresses_.size());
  const double Share =
      Slack * ReachedSeeds / static_cast<double>(Membership_.knownCount());
  return std::min(Share, isRetryWindowOver(Now) ? MaxRetrySlack : SmallSlack);
}

} // namespace cranberryspool::fleet
