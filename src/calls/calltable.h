#ifndef CRANBERRYSPOOL_CALLS_CALLTABLE_H
#define CRANBERRYSPOOL_CALLS_CALLTABLE_H

#include "calls/types/attempt.h"
#include "calls/types/call.h"
#include "framework/ids.h"

#include <map>

namespace cranberryspool::calls {

/// The calls that have not ended and the live attempts, by id.
class CallTable {
public:
  /// Adds a call, whose id must be new.
  Call &accept(const CallRequest &Request);
  /// Returns the call, or null when it has ended.
  Call *find(framework::CallId Id);
  /// Removes a call, which must exist, and returns the token to end it.
  EndingToken remove(framework::CallId Id);

  /// Adds an attempt of a call and sets the call's state to running.
  Attempt &addAttempt(Call &Owner, const Attempt &Started);
  /// Returns the live attempt, or null when there is none with this id.
  Attempt *findAttempt(framework::AttemptId Id);
  /// Removes an attempt, also from its call unless the call has ended.
  void removeAttempt(framework::AttemptId Id);

  /// Returns true when the call's limit permits one more attempt. Attempts that
  /// wait for a connection count as well, since they will be sent.
  bool mayStartAttempt(const Call &Owner) const;
  /// Returns true when an attempt of the call may be running at a target.
  bool isAtTarget(const Call &Owner) const;

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
