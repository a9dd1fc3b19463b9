#ifndef CRANBERRYSPOOL_CALLS_ENDINGTOKEN_H
#define CRANBERRYSPOOL_CALLS_ENDINGTOKEN_H

#include "calls/callending.h"

namespace cranberryspool::calls {

/// The right to end one call. It can be moved but not copied, and each way of
/// ending the call consumes it, so that a call ends once.
class EndingToken {
public:
  explicit EndingToken(framework::CallId Call) : Call_(Call) {}
  EndingToken(const EndingToken &) = delete;
  EndingToken &operator=(const EndingToken &) = delete;
  EndingToken(EndingToken &&Other) noexcept;
  EndingToken &operator=(EndingToken &&Other) noexcept;
  ~EndingToken() = default;

  /// Ends the call with the whole answer of a target.
  CallEnding answer(framework::AttemptId Attempt) &&;
  /// Ends the call with the kept answer of an earlier call of the same key.
  CallEnding replay() &&;
  /// Ends the call without an answer. `How` must not be `Ending::Answered`.
  CallEnding refuse(Ending How, EndingReason Why,
                    framework::Duration RetryAfter) &&;

  /// False once the call has been ended or the right was moved elsewhere.
  bool isPending() const { return IsPending_; }

private:
  CallEnding consume();

  framework::CallId Call_;
  bool IsPending_ = true;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_ENDINGTOKEN_H
