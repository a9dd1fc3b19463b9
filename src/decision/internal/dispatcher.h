#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_DISPATCHER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_DISPATCHER_H

#include "decision/internal/attemptmanager.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"

#include <optional>

namespace cranberryspool::decision {

/// Chooses targets for queued calls and for hedges.
class Dispatcher {
public:
  Dispatcher(CoreState &Core, AttemptManager &Attempts)
      : Core_(Core), Attempts_(Attempts) {}

  /// Starts every queued call for which a target is available.
  void startQueued(const EventContext &Context);
  /// Starts hedges: second attempts of calls whose first attempt takes
  /// unusually long. If `MayStart` is false, hedges that are due are skipped
  /// and not made up for later.
  void startHedges(const EventContext &Context, bool MayStart);

private:
  /// Returns true if a hedge should start now for a call whose only live
  /// attempt is `First`.
  bool isHedgeDue(const EventContext &Context, const calls::Call &Call,
                  const calls::Attempt &First) const;
  /// Starts an attempt of the call. Returns false if no target can take one
  /// more attempt.
  bool tryStart(const EventContext &Context, calls::Call &Call);
  std::optional<framework::TargetId> chooseTarget(const EventContext &Context,
                                                  const calls::Call &Call);

  CoreState &Core_;
  AttemptManager &Attempts_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_DISPATCHER_H
