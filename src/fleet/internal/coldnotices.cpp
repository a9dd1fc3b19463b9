#include "fleet/internal/coldnotices.h"

#include <algorithm>

namespace cranberryspool::fleet {

namespace {

/// How long a notice rides on heartbeats: long enough to reach all instances
/// by several ways.
constexpr framework::Duration NoticeLifetime = std::chrono::seconds(5);

/// The most notices in one message.
constexpr std::size_t MaxNoticesPerMessage = 8;

/// The most targets whose latest start is remembered.
constexpr std::size_t MaxKnown = 8'192;

} // namespace

bool ColdNotices::note(const ColdNotice &Notice, framework::Instant Now) {
  const auto Known = Known_.find(Notice.Target_);
  if (Known != Known_.end() && Known->second == Notice.StartId_)
    return false;
  if (Known == Known_.end() && Known_.size() >= MaxKnown)
    Known_.erase(Known_.begin());
  Known_[Notice.Target_] = Notice.StartId_;
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
