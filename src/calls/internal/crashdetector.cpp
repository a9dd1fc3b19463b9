#include "calls/crashdetector.h"

#include <algorithm>
#include <chrono>

namespace cranberryspool::calls {

namespace {

using framework::Instant;
using std::chrono::milliseconds;

/// The resets of a target's other connections arrive within this time.
constexpr framework::Duration CheckDelay = milliseconds(20);
/// Without a result within this time the cause of a loss stays unknown.
constexpr framework::Duration LossRetention = milliseconds(1'000);
/// The time within which an instance that loses the network loses its
/// connections to all targets.
constexpr framework::Duration CutWindow = milliseconds(500);
constexpr std::ptrdiff_t ClosedTargetsOfCut = 2;
/// Bounds the memory for one target.
constexpr std::size_t MaxLossesPerTarget = 64;

} // namespace

void CrashDetector::recordLost(framework::TargetId Target,
                               const RequestFingerprint &Request, Instant Now) {
  TargetLosses &Losses = Losses_[Target];
  if (!Losses.Requests_.empty() && Now - Losses.FirstLostAt_ > LossRetention)
    Losses = TargetLosses();
  if (Losses.Requests_.empty())
    Losses.FirstLostAt_ = Now;
  if (Losses.Requests_.size() < MaxLossesPerTarget)
    Losses.Requests_.push_back(Request);
}

void CrashDetector::recordClosed(framework::TargetId Target, Instant Now) {
  ClosedAt_[Target] = Now;
}

std::vector<framework::TargetId> CrashDetector::takeDueChecks(Instant Now) {
  std::erase_if(Losses_, [Now](const auto &Each) {
    return Now - Each.second.FirstLostAt_ > LossRetention;
  });
  std::vector<framework::TargetId> Due;
  for (auto &[Target, Losses] : Losses_) {
    if (Losses.IsChecked_ || Now < Losses.FirstLostAt_ + CheckDelay)
      continue;
    Losses.IsChecked_ = true;
    Due.push_back(Target);
  }
  return Due;
}

std::optional<Instant> CrashDetector::nextWakeUp() const {
  std::optional<Instant> Next;
  for (const auto &[Target, Losses] : Losses_)
    if (!Losses.IsChecked_)
      Next = std::min(Next.value_or(Instant::max()),
                      Losses.FirstLostAt_ + CheckDelay);
  return Next;
}

std::vector<RequestFingerprint>
CrashDetector::recordRefused(framework::TargetId Target,
                             std::size_t ConnectedTargets, Instant Now) {
  recordClosed(Target, Now);
  std::erase_if(ClosedAt_, [Now](const auto &Each) {
    return Now - Each.second > CutWindow;
  });
  const auto Lost = Losses_.extract(Target);
  if (Lost.empty() || Now - Lost.mapped().FirstLostAt_ > LossRetention)
    return {};
  const bool IsCutOff =
      ConnectedTargets == 0 && std::ssize(ClosedAt_) >= ClosedTargetsOfCut;
  if (IsCutOff)
    return {};
  std::vector<RequestFingerprint> Requests = Lost.mapped().Requests_;
  std::sort(Requests.begin(), Requests.end());
  Requests.erase(std::unique(Requests.begin(), Requests.end()), Requests.end());
  return Requests;
}

} // namespace cranberryspool::calls
