#include "decision/internal/admissioncontroller.h"

#include "admission/types/queuedcall.h"

namespace cranberryspool::decision {

namespace {

calls::EndingReason reasonOf(admission::RefusalReason Reason) {
  switch (Reason) {
  case admission::RefusalReason::QueueFull:
    return calls::EndingReason::QueueFull;
  case admission::RefusalReason::DeadlineTooShort:
    return calls::EndingReason::DeadlineTooShort;
  case admission::RefusalReason::UnknownService:
    break;
  }
  return calls::EndingReason::NoTarget;
}

} // namespace

void AdmissionController::enqueue(const EventContext &Context,
                                  calls::Call &Call) {
  const calls::CallRequest &Request = Call.Request_;
  Call.State_ = calls::CallState::Queued;
  const auto Offered = Core_.Queue_.offer(
      admission::QueuedCall{
          .Call_ = Request.Call_,
          .Service_ = Request.Service_,
          .Urgency_ = Request.Urgency_,
          .Arrival_ = Request.Arrival_,
          .Deadline_ = Request.Deadline_,
          .LatestTimelyStart_ = latestTimelyStart(Request),
          .Priority_ = Request.Priority_,
          .Workspace_ = Request.Workspace_,
          .Kind_ = Request.Kind_.value(),
          .Objective_ = Request.LatencyObjective_,
          .ExpectedWork_ = Core_.ServiceStats_.expectedWork(Request.Kind_)},
      Context.now());
  if (!Offered)
    Finisher_.fail(Context, Call, reasonOf(Offered.error().Reason_));
}

framework::Instant AdmissionController::latestTimelyStart(
    const calls::CallRequest &Request) const {
  const framework::Duration Objective = Request.LatencyObjective_;
  if (Objective <= framework::Duration::zero())
    return framework::Instant::max();
  const framework::Duration RunTime =
      Core_.ServiceStats_.meanLatency(Request.Kind_).value_or(Objective / 2);
  return Request.Arrival_ + Objective - RunTime;
}

void AdmissionController::requeue(const EventContext &Context,
                                  calls::Call &Call) {
  Core_.Queue_.recordEnded(
      Call.Request_.Service_, Call.Request_.Urgency_, Call.LastResult_,
      Context.now() - Call.StartedAt_,
      Core_.Targets_.serviceLoad(Call.Request_.Service_, Context.now()),
      Context.now());
  if (Call.IsAccessWithdrawn_)
    Finisher_.fail(Context, Call, calls::EndingReason::Unauthenticated);
  else
    enqueue(Context, Call);
}

void AdmissionController::failExpired(const EventContext &Context) {
  for (const framework::CallId Id : Core_.Queue_.takeExpired(Context.now()))
    if (calls::Call *Call = Core_.Calls_.find(Id))
      Finisher_.fail(Context, *Call, calls::EndingReason::Overloaded);
}

} // namespace cranberryspool::decision
