#include "fleet/internal/homehistory.h"
#include "fleet/internal/rendezvous.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// The most lists that are remembered; the oldest is dropped first, which can
/// only make an instance appear to be home for a shorter time.
constexpr std::size_t MaxVersions = 16;

} // namespace

HomeHistory::HomeHistory(framework::InstanceName Self)
    : Self_(std::move(Self)) {}

void HomeHistory::noteMembers(
    const std::vector<document::PublishedInstance> &Members,
    framework::Instant Now) {
  Versions_.push_back(Version{Now, Members});
  if (Versions_.size() > MaxVersions)
    Versions_.pop_front();
}

void HomeHistory::noteLapse(framework::Instant Now) { LapsedAt_ = Now; }

bool HomeHistory::isHome(const Version &Item, std::string_view Subject) const {
  const document::PublishedInstance *Home = findHome(Subject, Item.Members_);
  return Home && Home->Name_ == Self_;
}

std::optional<framework::Instant>
HomeHistory::homeSince(std::string_view Subject) const {
  std::optional<framework::Instant> Since;
  for (auto Item = Versions_.rbegin(); Item != Versions_.rend(); ++Item) {
    if (!isHome(*Item, Subject))
      break;
    Since = Item->Since_;
    if (*Since <= LapsedAt_)
      return LapsedAt_;
  }
  return Since;
}

const document::PublishedInstance *
HomeHistory::homeBefore(std::string_view Subject) const {
  for (auto Item = Versions_.rbegin(); Item != Versions_.rend(); ++Item) {
    if (!isHome(*Item, Subject))
      return findHome(Subject, Item->Members_);
  }
  return nullptr;
}

} // namespace cranberryspool::fleet
