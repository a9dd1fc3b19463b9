#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_ATTEMPTMANAGER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_ATTEMPTMANAGER_H

#include "calls/types/attempt.h"
#include "calls/types/call.h"
#include "decision/internal/connectionmanager.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"
#include "routing/types/attemptresult.h"

namespace cranberryspool::decision {

/// Starts attempts, assigns connections to them and ends them.
class AttemptManager {
public:
  AttemptManager(CoreState &Core, ConnectionManager &Manager)
      : Core_(Core), ConnectionManager_(Manager) {}

  /// Starts an attempt of the call at the target. A call that is not idempotent
  /// must have no other live attempt, and none of its earlier attempts may have
  /// run.
  void start(const EventContext &Context, calls::Call &Call,
             framework::TargetId Target, calls::AttemptKind Kind);
  /// Assigns an idle connection to the attempt that has waited longest for one.
  void assignToWaiter(const EventContext &Context, framework::ConnectionId Id);
  /// Cancels a live attempt and closes its connection. An attempt that has no
  /// connection yet is withdrawn without being sent.
  void cancel(const EventContext &Context, framework::AttemptId Id,
              routing::AttemptResult Result);
  /// Removes an attempt that has ended and records its result for the target.
  void finish(const EventContext &Context, const calls::Attempt &Ended,
              routing::AttemptResult Result,
              std::optional<calls::AttemptFailure> Failure = std::nullopt);
  /// Lets a sent attempt continue at its target after its call has ended.
  void abandon(const EventContext &Context, calls::Attempt &Attempt);
  /// Cancels abandoned attempts that have exceeded their time limit.
  void expireAbandoned(const EventContext &Context);

private:
  /// Adds the state of the target on which its choice was based.
  void addTargetState(const EventContext &Context, framework::TargetId Id,
                      ReportAttempt &Report) const;
  void report(const EventContext &Context, const calls::Call &Call,
              const calls::Attempt &Reported) const;
  void connect(const EventContext &Context, const calls::Attempt &Attempt);
  /// Returns an idle connection that was active since the given time. Those on
  /// which the call was refused are closed.
  std::optional<framework::ConnectionId>
  findIdle(const EventContext &Context, const calls::Attempt &Attempt,
           framework::Instant ActiveSince);
  bool hasRefused(framework::ConnectionId Id,
                  const calls::Attempt &Attempt) const;
  void send(const EventContext &Context, calls::Attempt &Attempt,
            framework::ConnectionId Id);
  /// Makes the request one that another instance accepts.
  void addressToPeer(SendAttempt &Sent) const;
  void scheduleHedge(const EventContext &Context, const calls::Call &Call);

  CoreState &Core_;
  ConnectionManager &ConnectionManager_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_ATTEMPTMANAGER_H
