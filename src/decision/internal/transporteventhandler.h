#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_TRANSPORTEVENTHANDLER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_TRANSPORTEVENTHANDLER_H

#include "calls/restartdetector.h"
#include "calls/types/attemptfailure.h"
#include "calls/types/endingreason.h"
#include "decision/internal/admissioncontroller.h"
#include "decision/internal/attemptmanager.h"
#include "decision/internal/callfinisher.h"
#include "decision/internal/callforwarder.h"
#include "decision/internal/connectionmanager.h"
#include "decision/internal/corestate.h"
#include "decision/internal/crashguard.h"
#include "decision/internal/eventcontext.h"
#include "decision/internal/targetobserver.h"
#include "decision/types/events/answerbegan.h"
#include "decision/types/events/attemptanswered.h"
#include "decision/types/events/attemptfailed.h"
#include "decision/types/events/connectionclosed.h"
#include "decision/types/events/connectionopened.h"

#include <set>
#include <vector>

namespace cranberryspool::decision {

/// Handles the events of connections and attempts and decides how their calls
/// continue.
class TransportEventHandler {
public:
  TransportEventHandler(CoreState &Core, ConnectionManager &Manager,
                        AttemptManager &Attempts, CallFinisher &Finisher,
                        AdmissionController &Admission,
                        TargetObserver &Observer, CrashGuard &Crashes,
                        CallForwarder &Forwarder)
      : Core_(Core), ConnectionManager_(Manager), Attempts_(Attempts),
        Finisher_(Finisher), Admission_(Admission), Observer_(Observer),
        Crashes_(Crashes), Forwarder_(Forwarder) {}

  void handle(const EventContext &Context, const ConnectionOpened &Input);
  void handle(const EventContext &Context, const ConnectionClosed &Input);
  void handle(const EventContext &Context, const AnswerBegan &Input);
  void handle(const EventContext &Context, const AttemptAnswered &Input);
  void handle(const EventContext &Context, const AttemptFailed &Input);

  /// Closes connections that have become silent and handles their attempts as
  /// lost.
  void failSilentConnections(const EventContext &Context);
  /// Cancels unsent attempts at targets that no longer accept work and queues
  /// their calls again. The same happens to those at targets that have become
  /// unconfirmed while others can take them.
  void requeueUnsent(const EventContext &Context,
                     const std::set<framework::TargetId> &NewlyUnconfirmed);
  /// Closes connections that have not opened within the connect timeout.
  void failSlowConnects(const EventContext &Context);

private:
  /// Whether an answer belongs to the attempt that was sent on the connection.
  enum class Correlation { Confirmed, Assumed, Mismatched };

  Correlation correlate(const AttemptAnswered &Input,
                        const calls::Attempt &Attempt);
  void recordMeasurements(const EventContext &Context,
                          const AttemptAnswered &Input,
                          const calls::Attempt &Attempt);
  void returnConnection(const EventContext &Context,
                        const AttemptAnswered &Input,
                        const calls::Attempt &Attempt);
  /// Handles the end of an attempt that got no answer and may have run at the
  /// target.
  void handleLostAttempt(const EventContext &Context,
                         const calls::Attempt &Lost,
                         calls::EndingReason Reason);
  /// Handles the end of an attempt that cannot have run at the target.
  void handleUnsentAttempt(const EventContext &Context,
                           const calls::Attempt &Unsent);
  void handleNotRun(const EventContext &Context, calls::Call &Call);
  void handleAnswer(const EventContext &Context, calls::Call &Call,
                    const calls::Attempt &Ended, std::uint32_t Status);
  /// Handles the response of the instance to which a call was forwarded.
  void handleForwardAnswer(const EventContext &Context,
                           const calls::Attempt &Ended,
                           const AttemptAnswered &Input, Correlation Match);
  bool mayRetry(const EventContext &Context, calls::Call &Call);
  /// Returns true when an unsent attempt at a target that has become
  /// unconfirmed is given up.
  bool shouldLeaveUnconfirmed(const calls::Attempt &Unsent) const;
  /// Records that a target closed a connection. If it seems to have closed all
  /// its connections at once, it is taken to have restarted and is marked as
  /// cold.
  void recordClosedByPeer(const EventContext &Context,
                          framework::TargetId Target, bool WasIdle);
  void handleConnectFailure(const EventContext &Context,
                            framework::ConnectionId Id);

  CoreState &Core_;
  ConnectionManager &ConnectionManager_;
  AttemptManager &Attempts_;
  CallFinisher &Finisher_;
  AdmissionController &Admission_;
  TargetObserver &Observer_;
  CrashGuard &Crashes_;
  CallForwarder &Forwarder_;
  calls::RestartDetector ResetDetector_;
  /// Indexed by target: whether the target has ever returned the identifier of
  /// the attempt that it answers.
  std::vector<bool> EchoesAttemptId_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_TRANSPORTEVENTHANDLER_H
