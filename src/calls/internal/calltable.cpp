#include "calls/calltable.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::calls {

Call &CallTable::accept(const CallRequest &Request) {
  Call Accepted{.Request_ = Request,
                .Ending_ = EndingToken(Request.Call_),
                .LiveAttempts_ = {},
                .UsedTargets_ = {},
                .FallbackAnswer_ = {}};
  return Calls_.emplace(Request.Call_, std::move(Accepted)).first->second;
}

Call *CallTable::find(framework::CallId Id) {
  const auto Position = Calls_.find(Id);
  return Position == Calls_.end() ? nullptr : &Position->second;
}

EndingToken CallTable::remove(framework::CallId Id) {
  const auto Position = Calls_.find(Id);
  EndingToken Token = std::move(Position->second.Ending_);
  Calls_.erase(Position);
  return Token;
}

Attempt &CallTable::addAttempt(Call &Owner, const Attempt &Started) {
  Owner.State_ = CallState::Running;
  Owner.LiveAttempts_.push_back(Started.Attempt_);
  Owner.UsedTargets_.push_back(Started.Target_);
  ++Owner.StartedAttempts_;
  return Attempts_.emplace(Started.Attempt_, Started).first->second;
}

Attempt *CallTable::findAttempt(framework::AttemptId Id) {
  const auto Position = Attempts_.find(Id);
  return Position == Attempts_.end() ? nullptr : &Position->second;
}

void CallTable::removeAttempt(framework::AttemptId Id) {
  const auto Position = Attempts_.find(Id);
  if (Position == Attempts_.end())
    return;
  if (Call *Owner = find(Position->second.Call_))
    std::erase(Owner->LiveAttempts_, Id);
  Attempts_.erase(Position);
}

bool CallTable::isAtTarget(const Call &Owner) const {
  return std::any_of(Owner.LiveAttempts_.begin(), Owner.LiveAttempts_.end(),
                     [this](framework::AttemptId Id) {
                       return Attempts_.at(Id).State_ == AttemptState::Sent;
                     });
}

bool CallTable::mayStartAttempt(const Call &Owner) const {
  const auto Waiting = std::count_if(
      Owner.LiveAttempts_.begin(), Owner.LiveAttempts_.end(),
      [this](framework::AttemptId Id) {
        return Attempts_.at(Id).State_ == AttemptState::WaitingForConnection;
      });
  return !Owner.IsAccessWithdrawn_ &&
         Owner.SentAttempts_ + Waiting < Owner.Request_.MaxAttempts_;
}

} // namespace cranberryspool::calls
