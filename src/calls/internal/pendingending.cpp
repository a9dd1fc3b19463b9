#include "calls/pendingending.h"

#include <cstdlib>
#include <utility>

namespace cranberryspool::calls {

PendingEnding::PendingEnding(PendingEnding &&Other) noexcept
    : Call_(Other.Call_), IsPending_(std::exchange(Other.IsPending_, false)) {}

PendingEnding &PendingEnding::operator=(PendingEnding &&Other) noexcept {
  Call_ = Other.Call_;
  IsPending_ = std::exchange(Other.IsPending_, false);
  return *this;
}

CallEnding PendingEnding::answer(framework::AttemptId Attempt) && {
  CallEnding Result = consume();
  Result.Ending_ = Ending::Answered;
  Result.Attempt_ = Attempt;
  return Result;
}

CallEnding PendingEnding::replay() && {
  CallEnding Result = consume();
  Result.Ending_ = Ending::Answered;
  return Result;
}

CallEnding PendingEnding::refuse(Ending How, EndingReason Why,
                                 framework::Duration RetryAfter) && {
  CallEnding Result = consume();
  Result.Ending_ = How;
  Result.Reason_ = Why;
  Result.RetryAfter_ = RetryAfter;
  return Result;
}

CallEnding PendingEnding::consume() {
  // A second ending could contradict the first: stop rather than tell both.
  if (!IsPending_)
    std::abort();
  IsPending_ = false;
  CallEnding Result;
  Result.Call_ = Call_;
  return Result;
}

} // namespace cranberryspool::calls
