#ifndef CRANBERRYSPOOL_CALLS_ENDINGTOKEN_H
#define CRANBERRYSPOOL_CALLS_ENDINGTOKEN_H

#include "calls/callending.h"

namespace cranberryspool::calls {

/// A move-only token that entitles its holder to end one call. Each way of
/// ending the call consumes the token, so that a call ends only once.
class EndingToken {
public:
  explicit EndingToken(framework::CallId Call) : Call_(Call) {}
  EndingToken(const EndingToken &) = delete;
  EndingToken &operator=(const EndingToken &) = delete;
  EndingToken(EndingToken &&Other) noexcept;
  EndingToken &operator=(EndingToken &&Other) noexcept;
  ~EndingToken() = default;

  /// Ends the call with the complete response of a target.
  CallEnding answer(framework::AttemptId Attempt) &&;
  /// Ends the call with the stored response of an earlier call with the same
  /// idempotency key.
  CallEnding replay() &&;
  /// Ends the call without a response. `How` must not be `Ending::Answered`.
  CallEnding refuse(Ending How, EndingReason Why,
                    framework::Duration RetryAfter) &&;

  /// Returns false when the call has been ended or the token was moved from.
  bool isPending() const { return IsPending_; }

private:
  CallEnding consume();

  framework::CallId Call_;
  bool IsPending_ = true;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_ENDINGTOKEN_H
