#include "calls/silencedetector.h"

#include <algorithm>

namespace cranberryspool::calls {

SilenceDetector::SilenceDetector(SilenceThresholds Idempotent,
                                 SilenceThresholds NonIdempotent)
    : Idempotent_(Idempotent), NonIdempotent_(NonIdempotent) {}

void SilenceDetector::recordSent(const Attempt &Sent) {
  Watched_[Sent.Target_].emplace(Sent.Attempt_, Evidence{.Watched_ = Sent});
}

void SilenceDetector::recordAnswered(const Attempt &Answered,
                                     framework::Duration Elapsed) {
  const auto Target = Watched_.find(Answered.Target_);
  if (Target == Watched_.end())
    return;
  for (auto &[Id, Known] : Target->second) {
    if (Id == Answered.Attempt_)
      continue;
    if (Known.Watched_.RequestKind_ != Answered.RequestKind_)
      continue;
    if (Known.Watched_.SentAt_ > Answered.SentAt_)
      continue;
    ++Known.LaterAnswers_;
    Known.Slowest_ = std::max(Known.Slowest_, Elapsed);
    const SilenceThresholds &Bounds = boundsFor(Known.Watched_);
    if (Known.LaterAnswers_ < Bounds.LaterAnswers_)
      continue;
    const framework::Duration Wait =
        std::max(Bounds.MinWait_, Known.Slowest_ * Bounds.WaitFactor_);
    Due_.set(Id, Known.Watched_.SentAt_ + Wait);
  }
}

void SilenceDetector::stopWatching(const Attempt &Gone) {
  Due_.clear(Gone.Attempt_);
  const auto Target = Watched_.find(Gone.Target_);
  if (Target == Watched_.end())
    return;
  Target->second.erase(Gone.Attempt_);
  if (Target->second.empty())
    Watched_.erase(Target);
}

std::optional<framework::AttemptId>
SilenceDetector::takeSilent(framework::Instant Now) {
  return Due_.takeDue(Now);
}

std::optional<framework::Instant> SilenceDetector::nextWakeUp() const {
  return Due_.next();
}

const SilenceThresholds &
SilenceDetector::boundsFor(const Attempt &Watched) const {
  return Watched.IsIdempotent_ ? Idempotent_ : NonIdempotent_;
}

} // namespace cranberryspool::calls
