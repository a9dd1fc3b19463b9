#ifndef CRANBERRYSPOOL_CALLS_CALLTABLE_H
#define CRANBERRYSPOOL_CALLS_CALLTABLE_H

#include "calls/types/attempt.h"
#include "calls/types/call.h"
#include "framework/ids.h"

#include <map>

namespace cranberryspool::calls {

/// All calls that have not ended and all live attempts, addressed by ids.
class CallTable {
public:
  /// Adds a call. Its id must be new.
  Call &accept(const CallRequest &Request);
  /// Returns the call, or null when it has ended.
  Call *find(framework::CallId Id);
  /// Removes a call and hands out the right to end it. The call must exist.
  EndingToken remove(framework::CallId Id);

  /// Adds an attempt of a call, which counts as running from now on.
  Attempt &addAttempt(Call &Owner, const Attempt &Started);
  /// Returns the live attempt, or null.
  Attempt *findAttempt(framework::AttemptId Id);
  /// Removes an attempt, also from its call when that has not ended.
  void removeAttempt(framework::AttemptId Id);

  const std::map<framework::CallId, Call> &calls() const { return Calls_; }
  const std::map<framework::AttemptId, Attempt> &attempts() const {
    return Attempts_;
  }

private:
  std::map<framework::CallId, Call> Calls_;
  std::map<framework::AttemptId, Attempt> Attempts_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_CALLTABLE_H
