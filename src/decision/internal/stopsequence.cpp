#include "decision/internal/stopsequence.h"

namespace cranberryspool::decision {

void StopSequence::request(const Step &At) {
  if (RequestedAt_)
    return;
  RequestedAt_ = At.now();
  Parts_.Fleet_.handleStopRequest(At.Now_, Parts_.FleetOutput_);
  At.Output_.push_back(
      ReportChange{ChangeKind::StopStarted, Parts_.Settings_.Self_.value()});
}

void StopSequence::advance(const Step &At) {
  if (!RequestedAt_ || IsFinished_)
    return;
  if (At.now() < *RequestedAt_ + Parts_.Settings_.StopLinger_)
    return;
  Calls_.close();
  if (!Parts_.Calls_.calls().empty() || !Parts_.Calls_.attempts().empty())
    return;
  // Without the platform's list a handover may never be done.
  const bool IsOverdue =
      At.now() >= *RequestedAt_ + 2 * Parts_.Settings_.StopLinger_;
  if (!Parts_.Fleet_.isHandoverDone() && !IsOverdue)
    return;
  IsFinished_ = true;
  At.Output_.push_back(
      ReportChange{ChangeKind::StopFinished, Parts_.Settings_.Self_.value()});
  At.Output_.push_back(FinishStop{});
}

} // namespace cranberryspool::decision
