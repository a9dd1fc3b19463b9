#include "decision/internal/keyedcallhandler.h"

namespace cranberryspool::decision {

void KeyedCallHandler::requestDecision(const EventContext &Context,
                                       calls::Call &Call) {
  Call.State_ = calls::CallState::AwaitingKey;
  Core_.Fleet_.requestKey(Call.Request_.Call_, *Call.Request_.Key_,
                          Context.Now_, Core_.FleetOutput_);
}

void KeyedCallHandler::handle(const EventContext &Context,
                              const fleet::KeyDecided &Input) {
  calls::Call *Call = Core_.Calls_.find(Input.Call_);
  if (!Call || Call->State_ != calls::CallState::AwaitingKey)
    return;
  switch (Input.Decision_) {
  case fleet::KeyDecision::Run:
    Call->HoldsKey_ = true;
    Admission_.enqueue(Context, *Call);
    return;
  case fleet::KeyDecision::Replay:
    Call->State_ = calls::CallState::FetchingAnswer;
    Context.Output_.push_back(
        FetchKeptAnswer{Input.Call_, Input.PeerAddress_, Input.PeerCall_});
    return;
  case fleet::KeyDecision::InProgress:
    Finisher_.refuse(Context, *Call, calls::Ending::Unknown,
                     calls::EndingReason::KeyInProgress);
    return;
  case fleet::KeyDecision::ResponseUnavailable:
    Finisher_.refuse(Context, *Call, calls::Ending::Unknown,
                     calls::EndingReason::KeyAnswerGone);
    return;
  case fleet::KeyDecision::TooOld:
    Finisher_.refuse(Context, *Call, calls::Ending::Unknown,
                     calls::EndingReason::KeyTooOld);
    return;
  case fleet::KeyDecision::OwnerUnreachable:
    Finisher_.refuse(Context, *Call, calls::Ending::Unknown,
                     calls::EndingReason::KeyHomeUnreachable);
    return;
  case fleet::KeyDecision::Invalid:
    Finisher_.refuse(Context, *Call, calls::Ending::NotRun,
                     calls::EndingReason::KeyInvalid);
    return;
  }
}

void KeyedCallHandler::handle(const EventContext &Context,
                              const KeptAnswerFetched &Input) {
  calls::Call *Call = Core_.Calls_.find(Input.Call_);
  if (!Call || Call->State_ != calls::CallState::FetchingAnswer)
    return;
  if (Input.IsFound_)
    Finisher_.replay(Context, *Call);
  else
    Finisher_.refuse(Context, *Call, calls::Ending::Unknown,
                     calls::EndingReason::KeyAnswerGone);
}

} // namespace cranberryspool::decision
