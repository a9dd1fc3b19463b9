#include "entry/internal/pendingsections.h"

namespace cranberryspool::entry {

std::optional<fleet::SectionReply>
PendingSections::request(fleet::SectionRequest Request,
                         framework::Duration Timeout) {
  std::unique_lock Lock(Mutex_);
  const std::uint64_t RequestId = ++LastRequestId_;
  Waiting_.emplace(RequestId, std::nullopt);
  DispatchInput Input;
  Input.Event_ = decision::SectionsRequested{RequestId, std::move(Request)};
  const bool IsPosted = Mailboxes_.Dispatch_.tryPush(Input);
  if (IsPosted)
    Answered_.wait_for(Lock, Timeout, [this, RequestId] {
      return Waiting_.at(RequestId).has_value();
    });
  std::optional<fleet::SectionReply> Reply = std::move(Waiting_.at(RequestId));
  Waiting_.erase(RequestId);
  return Reply;
}

void PendingSections::complete(std::uint64_t RequestId,
                               fleet::SectionReply Reply) {
  const std::lock_guard Lock(Mutex_);
  const auto Found = Waiting_.find(RequestId);
  if (Found == Waiting_.end())
    return;
  Found->second = std::move(Reply);
  Answered_.notify_all();
}

} // namespace cranberryspool::entry
