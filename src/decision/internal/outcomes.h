#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_OUTCOMES_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_OUTCOMES_H

#include "calls/restartdetector.h"
#include "calls/types/attemptfailure.h"
#include "calls/types/endingreason.h"
#include "decision/internal/admissionflow.h"
#include "decision/internal/attemptflow.h"
#include "decision/internal/callender.h"
#include "decision/internal/connectionkeeper.h"
#include "decision/internal/coreparts.h"
#include "decision/internal/step.h"
#include "decision/internal/targetnotes.h"
#include "decision/types/events/answerbegan.h"
#include "decision/types/events/attemptanswered.h"
#include "decision/types/events/attemptfailed.h"
#include "decision/types/events/connectionclosed.h"
#include "decision/types/events/connectionopened.h"

#include <vector>

namespace cranberryspool::decision {

/// Decides what follows from what the transport tells of connections and
/// attempts.
class Outcomes {
public:
  Outcomes(CoreParts &Parts, ConnectionKeeper &Keeper, AttemptFlow &Attempts,
           CallEnder &Ender, AdmissionFlow &Waiting, TargetNotes &Notes)
      : Parts_(Parts), Keeper_(Keeper), Attempts_(Attempts), Ender_(Ender),
        Waiting_(Waiting), Notes_(Notes) {}

  void handle(const Step &At, const ConnectionOpened &Input);
  void handle(const Step &At, const ConnectionClosed &Input);
  void handle(const Step &At, const AnswerBegan &Input);
  void handle(const Step &At, const AttemptAnswered &Input);
  void handle(const Step &At, const AttemptFailed &Input);

  /// Gives up connections that have become silent, and what waits on them.
  void dropSilent(const Step &At);
  /// Takes unsent attempts off targets that take no more work.
  void takeBackUnsent(const Step &At);
  /// Gives up connections that take too long to open.
  void dropUnopened(const Step &At);

private:
  /// Whether an answer belongs to the attempt that was sent on the connection.
  enum class Correlation { Confirmed, Assumed, Mismatched };

  Correlation correlate(const AttemptAnswered &Input, const calls::Attempt &Of);
  void learn(const Step &At, const AttemptAnswered &Input,
             const calls::Attempt &Of);
  void giveBack(const Step &At, const AttemptAnswered &Input,
                const calls::Attempt &Of);
  /// An attempt ended without an answer, and the target may have run it.
  void followLoss(const Step &At, const calls::Attempt &Lost,
                  calls::EndingReason Why);
  /// An attempt ended and nothing of it can have run.
  void followUnsent(const Step &At, const calls::Attempt &Unsent);
  void followNotRun(const Step &At, calls::Call &Owner);
  void followAnswer(const Step &At, calls::Call &Owner,
                    const calls::Attempt &Ended, std::uint32_t Status);
  bool mayRetry(const Step &At, const calls::Call &Owner);
  /// The other end closed a connection to the target.
  void noteReset(const Step &At, framework::TargetId Target, bool WasIdle);
  void failOpening(const Step &At, framework::ConnectionId Id);

  CoreParts &Parts_;
  ConnectionKeeper &Keeper_;
  AttemptFlow &Attempts_;
  CallEnder &Ender_;
  AdmissionFlow &Waiting_;
  TargetNotes &Notes_;
  calls::RestartDetector Resets_;
  /// By target: whether it has ever named the attempt that it answers.
  std::vector<bool> Echoes_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_OUTCOMES_H
