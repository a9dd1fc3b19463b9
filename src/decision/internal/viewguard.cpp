#include "decision/internal/viewguard.h"

#include <vector>

namespace cranberryspool::decision {

bool ViewGuard::isFresh(framework::Instant Now) const {
  return Parts_.Environment_.hasDocument() &&
         Parts_.Environment_.hasInstances() && Parts_.Fleet_.isViewFresh(Now);
}

bool ViewGuard::mayAccept(framework::Instant Now) const {
  if (isFresh(Now))
    return true;
  return FreshAt_ && Now <= *FreshAt_ + Parts_.Settings_.ViewGrace_;
}

void ViewGuard::update(const Step &At) {
  if (isFresh(At.now()))
    FreshAt_ = At.now();
  else if (!mayAccept(At.now()))
    refuseWaiting(At);
}

void ViewGuard::notePause(const Step &At) {
  ++Parts_.Counters_.Pauses_;
  At.Output_.push_back(
      ReportChange{ChangeKind::PauseDetected, Parts_.Settings_.Self_.value()});
  Parts_.Fleet_.handlePause(At.Now_, Parts_.FleetOutput_);
  // The time for which it slept does not count against the calls that wait.
  if (FreshAt_)
    FreshAt_ = At.now();
}

void ViewGuard::refuseWaiting(const Step &At) {
  std::vector<framework::CallId> Waiting;
  for (const auto &[Id, Owner] : Parts_.Calls_.calls())
    if (Owner.State_ == calls::CallState::Queued)
      Waiting.push_back(Id);
  for (const framework::CallId Id : Waiting)
    Ender_.giveUp(At, *Parts_.Calls_.find(Id), calls::EndingReason::ViewTooOld);
}

} // namespace cranberryspool::decision
