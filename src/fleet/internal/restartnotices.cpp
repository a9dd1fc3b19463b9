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
constexpr std::size_t MaxStartIds = 16;

} // namespace

bool RestartNotices::add(const RestartNotice &Notice, framework::Instant Now) {
  if (!SeenStartIds_.contains(Notice.Target_) &&
      SeenStartIds_.size() >= MaxTargets)
    SeenStartIds_.erase(SeenStartIds_.begin());
  std::deque<framework::Incarnation> &StartIds = SeenStartIds_[Notice.Target_];
  if (std::find(StartIds.begin(), StartIds.end(), Notice.StartId_) !=
      StartIds.end())
    return false;
  StartIds.push_back(Notice.StartId_);
  if (StartIds.size() > MaxStartIds)
    StartIds.pop_front();
  Recent_.push_back(RecentNotice{Notice, Now + NoticeLifetime});
  return true;
}

std::vector<RestartNotice> RestartNotices::recent(framework::Instant Now) {
  while (!Recent_.empty() && Recent_.front().ExpiresAt_ <= Now)
    Recent_.pop_front();
  std::vector<RestartNotice> Notices;
  const std::size_t Count = std::min(Recent_.size(), MaxNoticesPerMessage);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Notices.push_back(Recent_[Recent_.size() - 1 - Index].Notice_);
  return Notices;
}

} // namespace cranberryspool::fleet
