#include "decision/internal/viewguard.h"

#include <vector>

namespace cranberryspool::decision {

bool ViewGuard::isFresh(framework::Instant Now) const {
  return Core_.Environment_.hasDocument() &&
         Core_.Environment_.hasInstances() && Core_.Fleet_.isViewFresh(Now);
}

bool ViewGuard::mayAccept(framework::Instant Now) const {
  if (isFresh(Now))
    return true;
  return LastFreshAt_ &&
         Now <= *LastFreshAt_ + Core_.Settings_.StaleViewGracePeriod_;
}

void ViewGuard::update(const EventContext &Context) {
  if (isFresh(Context.now()))
    LastFreshAt_ = Context.now();
  else if (!mayAccept(Context.now()))
    failQueued(Context);
}

void ViewGuard::handlePause(const EventContext &Context) {
  ++Core_.Counters_.Pauses_;
  Context.Output_.push_back(
      ReportChange{ChangeKind::PauseDetected, Core_.Settings_.Self_.value()});
  Core_.Fleet_.handlePause(Context.Now_, Core_.FleetOutput_);
  // The time of the pause does not count against waiting calls.
  if (LastFreshAt_)
    LastFreshAt_ = Context.now();
}

void ViewGuard::failQueued(const EventContext &Context) {
  std::vector<framework::CallId> Queued;
  for (const auto &[Id, Call] : Core_.Calls_.calls())
    if (Call.State_ == calls::CallState::Queued)
      Queued.push_back(Id);
  for (const framework::CallId Id : Queued)
    Finisher_.fail(Context, *Core_.Calls_.find(Id),
                   calls::EndingReason::ViewTooOld);
}

} // namespace cranberryspool::decision
