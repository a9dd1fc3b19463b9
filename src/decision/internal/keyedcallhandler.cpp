#include "decision/internal/keyedcallhandler.h"

namespace cranberryspool::decision {

void KeyedCalls::ask(const Step &At, calls::Call &Owner) {
  Owner.State_ = calls::CallState::AwaitingKey;
  Parts_.Fleet_.requestKey(Owner.Request_.Call_, *Owner.Request_.Key_, At.Now_,
                           Parts_.FleetOutput_);
}

void KeyedCalls::handle(const Step &At, const fleet::KeyDecided &Input) {
  calls::Call *Owner = Parts_.Calls_.find(Input.Call_);
  if (!Owner || Owner->State_ != calls::CallState::AwaitingKey)
    return;
  switch (Input.Decision_) {
  case fleet::KeyDecision::Run:
    Owner->HoldsKey_ = true;
    Waiting_.enqueue(At, *Owner);
    return;
  case fleet::KeyDecision::Replay:
    Owner->State_ = calls::CallState::FetchingAnswer;
    At.Output_.push_back(
        FetchKeptAnswer{Input.Call_, Input.PeerAddress_, Input.PeerCall_});
    return;
  case fleet::KeyDecision::InProgress:
    Ender_.refuse(At, *Owner, calls::Ending::Unknown,
                  calls::EndingReason::KeyInProgress);
    return;
  case fleet::KeyDecision::AnswerGone:
    Ender_.refuse(At, *Owner, calls::Ending::Unknown,
                  calls::EndingReason::KeyAnswerGone);
    return;
  case fleet::KeyDecision::TooOld:
    Ender_.refuse(At, *Owner, calls::Ending::Unknown,
                  calls::EndingReason::KeyTooOld);
    return;
  case fleet::KeyDecision::HomeUnreachable:
    Ender_.refuse(At, *Owner, calls::Ending::Unknown,
                  calls::EndingReason::KeyHomeUnreachable);
    return;
  case fleet::KeyDecision::Invalid:
    Ender_.refuse(At, *Owner, calls::Ending::NotRun,
                  calls::EndingReason::KeyInvalid);
    return;
  }
}

void KeyedCalls::handle(const Step &At, const KeptAnswerFetched &Input) {
  calls::Call *Owner = Parts_.Calls_.find(Input.Call_);
  if (!Owner || Owner->State_ != calls::CallState::FetchingAnswer)
    return;
  if (Input.IsFound_)
    Ender_.replay(At, *Owner);
  else
    Ender_.refuse(At, *Owner, calls::Ending::Unknown,
                  calls::EndingReason::KeyAnswerGone);
}

} // namespace cranberryspool::decision
