#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_VIEWGUARD_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_VIEWGUARD_H

#include "decision/internal/callfinisher.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"

#include <optional>

namespace cranberryspool::decision {

/// Keeps calls from being decided on a view of the published state that is too
/// old: they wait for a short while, and are refused after it.
class ViewGuard {
public:
  ViewGuard(CoreParts &Parts, CallEnder &Ender)
      : Parts_(Parts), Ender_(Ender) {}

  /// True while new work may be sent to targets.
  bool isFresh(framework::Instant Now) const;
  /// True while calls may be accepted.
  bool mayAccept(framework::Instant Now) const;
  /// Follows the age of the view and refuses the calls that waited in vain.
  void update(const Step &At);
  /// The process did not run for a while.
  void notePause(const Step &At);

private:
  void refuseWaiting(const Step &At);

  CoreParts &Parts_;
  CallEnder &Ender_;
  /// When the view was found fresh last.
  std::optional<framework::Instant> FreshAt_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_VIEWGUARD_H
