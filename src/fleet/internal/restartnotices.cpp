#include "fleet/internal/restartnotices.h"

#include <algorithm>

namespace cranberryspool::fleet {

namespace {

/// How long a notice is sent with heartbeats: long enough to reach all
/// instances over several paths.
constexpr framework::Duration NoticeLifetime = std::chrono::seconds(5);

/// The largest number of notices in one message.
constexpr std::size_t MaxNoticesPerMessage = 8;

/// The number of targets whose start ids are remembered.
constexpr std::size_t MaxTargets = 8'192;

/// The number of start ids remembered per target, so that a delayed notice of
/// an earlier start is not mistaken for a new one.
constexpr std::size_t MaxStarts = 16;

} // namespace

bool RestartNotices::add(const RestartNotice &Notice, framework::Instant Now) {
  if (!SeenStarts_.contains(Notice.Target_) && SeenStarts_.size() >= MaxTargets)
    SeenStarts_.erase(SeenStarts_.begin());
  std::deque<framework::Incarnation> &Starts = SeenStarts_[Notice.Target_];
  if (std::find(Starts.begin(), Starts.end(), Notice.StartId_) != Starts.end())
    return false;
  Starts.push_back(Notice.StartId_);
  if (Starts.size() > MaxStarts)
    Starts.pop_front();
  Items_.push_back(Item{Notice, Now + NoticeLifetime});
  return true;
}

std::vector<RestartNotice> RestartNotices::recent(framework::Instant Now) {
  while (!Items_.empty() && Items_.front().Until_ <= Now)
    Items_.pop_front();
  std::vector<RestartNotice> Notices;
  const std::size_t Count = std::min(Items_.size(), MaxNoticesPerMessage);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Notices.push_back(Items_[Items_.size() - 1 - Index].Notice_);
  return Notices;
}

} // namespace cranberryspool::fleet
