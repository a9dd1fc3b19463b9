#include "decision/internal/stopsequence.h"

namespace cranberryspool::decision {

void StopSequence::request(const EventContext &Context) {
  if (RequestedAt_)
    return;
  RequestedAt_ = Context.now();
  Core_.Fleet_.handleStopRequest(Context.Now_, Core_.FleetOutput_);
  Context.Output_.push_back(
      ReportChange{ChangeKind::StopStarted, Core_.Settings_.Self_.value()});
}

void StopSequence::advance(const EventContext &Context) {
  if (!RequestedAt_ || IsFinished_)
    return;
  if (Context.now() < *RequestedAt_ + Core_.Settings_.StopLinger_)
    return;
  Receiver_.stopAccepting();
  if (!Core_.Calls_.calls().empty() || !Core_.Calls_.attempts().empty())
    return;
  // Without the platform's instance list the key handover may never complete.
  const bool IsOverdue =
      Context.now() >= *RequestedAt_ + 2 * Core_.Settings_.StopLinger_;
  if (!Core_.Fleet_.isHandoverDone() && !IsOverdue)
    return;
  IsFinished_ = true;
  Context.Output_.push_back(
      ReportChange{ChangeKind::StopFinished, Core_.Settings_.Self_.value()});
  Context.Output_.push_back(FinishStop{});
}

} // namespace cranberryspool::decision
