#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_ATTEMPTMANAGER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_ATTEMPTMANAGER_H

#include "calls/types/attempt.h"
#include "calls/types/call.h"
#include "decision/internal/connectionmanager.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"
#include "routing/types/attemptresult.h"

namespace cranberryspool::decision {

/// Starts attempts, gives them connections and takes them off again.
class AttemptFlow {
public:
  AttemptFlow(CoreParts &Parts, ConnectionKeeper &Keeper)
      : Parts_(Parts), Keeper_(Keeper) {}

  /// Starts an attempt of the call at the target. A call that is not
  /// idempotent must have no other live attempt and cannot have run.
  void start(const Step &At, calls::Call &Owner, framework::TargetId Target,
             calls::AttemptKind Kind);
  /// Gives a free connection to the attempt that has waited longest for it.
  void serveWaiter(const Step &At, framework::ConnectionId Id);
  /// Takes a live attempt off its target and closes its connection. Nothing
  /// is sent of one that had no connection yet.
  void cancel(const Step &At, framework::AttemptId Id,
              routing::AttemptResult Result);
  /// Removes an attempt that has ended at its target.
  void finish(const Step &At, const calls::Attempt &Ended,
              routing::AttemptResult Result);
  /// Lets a sent attempt of an ended call run to its end.
  void abandon(const Step &At, calls::Attempt &Left);
  /// Ends abandoned attempts whose time is over.
  void dropAbandoned(const Step &At);

private:
  void report(const Step &At, const calls::Attempt &Started) const;
  void connect(const Step &At, const calls::Attempt &Waiting);
  void send(const Step &At, calls::Attempt &Ready, framework::ConnectionId Id);
  void armHedge(const Step &At, const calls::Call &Owner);

  CoreParts &Parts_;
  ConnectionKeeper &Keeper_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_ATTEMPTMANAGER_H
