#include "entry/internal/pendingsections.h"

namespace cranberryspool::entry {

std::optional<fleet::SectionReply>
PendingSections::ask(fleet::SectionRequest Wanted,
                     framework::Duration Timeout) {
  std::unique_lock Guard(Lock_);
  const std::uint64_t Number = ++LastRequest_;
  Waiting_.emplace(Number, std::nullopt);
  DispatchInput Input;
  Input.Event_ = decision::SectionsRequested{Number, std::move(Wanted)};
  const bool IsAsked = Rings_.Dispatch_.tryPush(Input);
  if (IsAsked)
    Answered_.wait_for(Guard, Timeout, [this, Number] {
      return Waiting_.at(Number).has_value();
    });
  std::optional<fleet::SectionReply> Reply = std::move(Waiting_.at(Number));
  Waiting_.erase(Number);
  return Reply;
}

void PendingSections::answer(std::uint64_t Request, fleet::SectionReply Reply) {
  const std::lock_guard Guard(Lock_);
  const auto Position = Waiting_.find(Request);
  if (Position == Waiting_.end())
    return;
  Position->second = std::move(Reply);
  Answered_.notify_all();
}

} // namespace cranberryspool::entry
