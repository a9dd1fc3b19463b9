#include "decision/internal/keyedcalls.h"

namespace cranberryspool::decision {

void KeyedCalls::ask(const Step &At, calls::Call &Owner) {
  Waiting_.enqueue(At, Owner);
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
