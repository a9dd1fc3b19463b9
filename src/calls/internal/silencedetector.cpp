#include "calls/silencedetector.h"

#include <algorithm>

namespace cranberryspool::calls {

SilenceDetector::SilenceDetector(SilenceThresholds Idempotent,
                                 SilenceThresholds NonIdempotent)
    : Idempotent_(Idempotent), NonIdempotent_(NonIdempotent) {}

void SilenceDetector::recordSent(const Attempt &Sent) {
  Watched_[Sent.Target_].emplace(Sent.Attempt_,
                                 WatchedAttempt{.Attempt_ = Sent});
}

void SilenceDetector::recordAnswered(const Attempt &Answered,
                                     framework::Duration Elapsed) {
  const auto Target = Watched_.find(Answered.Target_);
  if (Target == Watched_.end())
    return;
  for (auto &[Id, Candidate] : Target->second) {
    if (Id == Answered.Attempt_)
      continue;
    if (Candidate.Attempt_.RequestKind_ != Answered.RequestKind_)
      continue;
    if (Candidate.Attempt_.SentAt_ > Answered.SentAt_)
      continue;
    ++Candidate.LaterAnswers_;
    Candidate.SlowestAnswer_ = std::max(Candidate.SlowestAnswer_, Elapsed);
    const SilenceThresholds &Thresholds = thresholdsFor(Candidate.Attempt_);
    if (Candidate.LaterAnswers_ < Thresholds.LaterAnswers_)
      continue;
    const framework::Duration Wait = std::max(
        Thresholds.MinWait_, Candidate.SlowestAnswer_ * Thresholds.WaitFactor_);
    Timers_.set(Id, Candidate.Attempt_.SentAt_ + Wait);
  }
}

void SilenceDetector::stopWatching(const Attempt &Watched) {
  Timers_.clear(Watched.Attempt_);
  const auto Target = Watched_.find(Watched.Target_);
  if (Target == Watched_.end())
    return;
  Target->second.erase(Watched.Attempt_);
  if (Target->second.empty())
    Watched_.erase(Target);
}

std::optional<framework::AttemptId>
SilenceDetector::takeSilent(framework::Instant Now) {
  return Timers_.takeDue(Now);
}

std::optional<framework::Instant> SilenceDetector::nextWakeUp() const {
  return Timers_.next();
}

const SilenceThresholds &
SilenceDetector::thresholdsFor(const Attempt &Watched) const {
  return Watched.IsIdempotent_ ? Idempotent_ : NonIdempotent_;
}

} // namespace cranberryspool::calls
