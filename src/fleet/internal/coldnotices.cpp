#include "fleet/internal/coldnotices.h"

#include <algorithm>

namespace cranberryspool::fleet {

namespace {

/// How long a notice rides on heartbeats: long enough to reach all instances
/// by several ways.
constexpr framework::Duration NoticeLifetime = std::chrono::seconds(5);

/// The most notices in one message.
constexpr std::size_t MaxNoticesPerMessage = 8;

/// The most targets whose starts are remembered.
constexpr std::size_t MaxKnown = 8'192;

/// The most starts of a target that are remembered, so that a late notice of
/// an earlier start is not taken for a new one.
constexpr std::size_t MaxStarts = 16;

} // namespace

bool ColdNotices::note(const ColdNotice &Notice, framework::Instant Now) {
  if (!Known_.contains(Notice.Target_) && Known_.size() >= MaxKnown)
    Known_.erase(Known_.begin());
  std::deque<framework::Incarnation> &Starts = Known_[Notice.Target_];
  if (std::find(Starts.begin(), Starts.end(), Notice.StartId_) != Starts.end())
    return false;
  Starts.push_back(Notice.StartId_);
  if (Starts.size() > MaxStarts)
    Starts.pop_front();
  Items_.push_back(Item{Notice, Now + NoticeLifetime});
  return true;
}

std::vector<ColdNotice> ColdNotices::recent(framework::Instant Now) {
  while (!Items_.empty() && Items_.front().Until_ <= Now)
    Items_.pop_front();
  std::vector<ColdNotice> Notices;
  const std::size_t Count = std::min(Items_.size(), MaxNoticesPerMessage);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Notices.push_back(Items_[Items_.size() - 1 - Index].Notice_);
  return Notices;
}

} // namespace cranberryspool::fleet
