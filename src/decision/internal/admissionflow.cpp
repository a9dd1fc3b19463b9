#include "decision/internal/admissionflow.h"

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

void AdmissionFlow::enqueue(const Step &At, calls::Call &Owner) {
  const calls::CallRequest &Request = Owner.Request_;
  Owner.State_ = calls::CallState::Queued;
  const auto Offered =
      Parts_.Queue_.offer(admission::QueuedCall{.Call_ = Request.Call_,
                                                .Service_ = Request.Service_,
                                                .Urgency_ = Request.Urgency_,
                                                .Arrival_ = Request.Arrival_,
                                                .Deadline_ = Request.Deadline_},
                          At.now());
  if (!Offered)
    Ender_.giveUp(At, Owner, reasonOf(Offered.error().Reason_));
}

void AdmissionFlow::enqueueAgain(const Step &At, calls::Call &Owner) {
  Parts_.Queue_.recordEnded(Owner.Request_.Service_, Owner.Request_.Urgency_,
                            Owner.LastResult_, At.now() - Owner.StartedAt_,
                            At.now());
  enqueue(At, Owner);
}

void AdmissionFlow::dropExpired(const Step &At) {
  for (const framework::CallId Id : Parts_.Queue_.takeExpired(At.now()))
    if (calls::Call *Owner = Parts_.Calls_.find(Id))
      Ender_.giveUp(At, *Owner, calls::EndingReason::Overloaded);
}

} // namespace cranberryspool::decision
