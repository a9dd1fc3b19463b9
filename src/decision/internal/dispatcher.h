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
  Dispatcher(CoreParts &Parts, AttemptFlow &Attempts)
      : Parts_(Parts), Attempts_(Attempts) {}

  /// Starts every queued call that may start and for which there is a target.
  void startQueued(const Step &At);
  /// Starts a second attempt of calls whose first one takes unusually long; a
  /// call whose time for it comes while none may start gets none.
  void startHedges(const Step &At, bool MayStart);

private:
  /// True when a second attempt of a call whose first one is under way should
  /// start now.
  bool isHedgeDue(const Step &At, const calls::Call &Owner,
                  const calls::Attempt &First) const;
  /// Returns false when no target may take one more attempt.
  bool startNext(const Step &At, calls::Call &Owner);
  std::optional<framework::TargetId> choose(const Step &At,
                                            const calls::Call &Owner);

  CoreParts &Parts_;
  AttemptFlow &Attempts_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_DISPATCHER_H
