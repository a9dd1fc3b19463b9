#include "decision/internal/stopsequence.h"

#include <vector>

namespace cranberryspool::decision {

namespace {

/// Of the grace period, the share that is left for writing the last answers.
constexpr int StopMarginDivisor = 10;
/// Of the time in which calls are accepted, the share in which only those are
/// that end before the stop does. The load balancer sends no callers by then.
constexpr int LateStopDivisor = 4;

} // namespace

void StopSequence::request(const EventContext &Context) {
  if (isRequested())
    return;
  Core_.StopRequestedAt_ = Context.now();
  const framework::Duration Grace = Core_.Settings_.StopGracePeriod_;
  if (Grace < framework::Duration::max()) {
    limitCalls(Context.now() + Grace - Grace / StopMarginDivisor);
    Core_.LateStopFrom_ = Context.now() + Core_.Settings_.StopLinger_ -
                          Core_.Settings_.StopLinger_ / LateStopDivisor;
  }
  Core_.Fleet_.handleStopRequest(Context.Now_, Core_.FleetOutput_);
  Context.Output_.push_back(
      ReportChange{ChangeKind::StopStarted, Core_.Settings_.Self_.value()});
}

void StopSequence::limitCalls(framework::Instant End) {
  Core_.StopEndsAt_ = End;
  std::vector<framework::CallId> Overlong;
  for (const auto &[Id, Call] : Core_.Calls_.calls())
    if (Call.Request_.Deadline_ > End)
      Overlong.push_back(Id);
  for (const framework::CallId Id : Overlong) {
    Core_.Calls_.find(Id)->Request_.Deadline_ = End;
    Core_.DeadlineTimers_.set(Id, End);
  }
}

bool StopSequence::areCallsEnded(framework::Instant Now) const {
  if (!Core_.Calls_.calls().empty())
    return false;
  // The rest are attempts whose callers have their answer or have gone.
  const bool IsOver = Core_.StopEndsAt_ && Now >= *Core_.StopEndsAt_;
  return Core_.Calls_.attempts().empty() || IsOver;
}

void StopSequence::advance(const EventContext &Context) {
  if (!isRequested() || IsFinished_)
    return;
  const framework::Instant RequestedAt = *Core_.StopRequestedAt_;
  if (Context.now() < RequestedAt + Core_.Settings_.StopLinger_)
    return;
  Receiver_.stopAccepting();
  if (!areCallsEnded(Context.now()))
    return;
  // Without the platform's instance list the key handover may never complete.
  const bool IsOverdue =
      Context.now() >= RequestedAt + 2 * Core_.Settings_.StopLinger_;
  if (!Core_.Fleet_.isHandoverDone() && !IsOverdue)
    return;
  IsFinished_ = true;
  Context.Output_.push_back(
      ReportChange{ChangeKind::StopFinished, Core_.Settings_.Self_.value()});
  Context.Output_.push_back(FinishStop{});
}

} // namespace cranberryspool::decision
