#include "calls/endingtoken.h"

#include <cstdlib>
#include <utility>

namespace cranberryspool::calls {

EndingToken::EndingToken(EndingToken &&Other) noexcept
    : Call_(Other.Call_), IsPending_(std::exchange(Other.IsPending_, false)) {}

EndingToken &EndingToken::operator=(EndingToken &&Other) noexcept {
  Call_ = Other.Call_;
  IsPending_ = std::exchange(Other.IsPending_, false);
  return *this;
}

CallEnding EndingToken::answer(framework::AttemptId Attempt) && {
  CallEnding Result = consume();
  Result.Ending_ = Ending::Answered;
  Result.Attempt_ = Attempt;
  return Result;
}

CallEnding EndingToken::replay() && {
  CallEnding Result = consume();
  Result.Ending_ = Ending::Answered;
  return Result;
}

CallEnding EndingToken::refuse(Ending How, EndingReason Why,
                               framework::Duration RetryAfter) && {
  CallEnding Result = consume();
  Result.Ending_ = How;
  Result.Reason_ = Why;
  Result.RetryAfter_ = RetryAfter;
  return Result;
}

CallEnding EndingToken::consume() {
  // A second ending could contradict the first one, so that aborting is safer
  // than reporting both.
  if (!IsPending_)
    std::abort();
  IsPending_ = false;
  CallEnding Result;
  Result.Call_ = Call_;
  return Result;
}

} // namespace cranberryspool::calls
