#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_VIEWGUARD_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_VIEWGUARD_H

#include "decision/internal/callfinisher.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"

#include <optional>

namespace cranberryspool::decision {

/// Prevents decisions based on a stale view of the published state: calls wait
/// for a short grace period and are refused after it.
class ViewGuard {
public:
  ViewGuard(CoreState &Core, CallFinisher &Finisher)
      : Core_(Core), Finisher_(Finisher) {}

  /// Returns true while new attempts may be sent to targets.
  bool isFresh(framework::Instant Now) const;
  /// Returns true while calls may be accepted.
  bool mayAccept(framework::Instant Now) const;
  /// Checks the age of the view and refuses waiting calls once the grace period
  /// is over.
  void update(const EventContext &Context);
  /// Handles a pause of the process between two events.
  void handlePause(const EventContext &Context);

private:
  void failQueued(const EventContext &Context);

  CoreState &Core_;
  CallFinisher &Finisher_;
  /// The last time at which the view was fresh.
  std::optional<framework::Instant> LastFreshAt_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_VIEWGUARD_H
