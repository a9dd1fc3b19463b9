#include "fleet/internal/seeded/storereads.h"

#include <algorithm>

namespace cranberryspool::fleet {

namespace {

using framework::Duration;
using framework::Instant;
using std::chrono::milliseconds;

/// A store that is slow throughout is not asked twice: an answer is late when
/// it takes longer than this many times the last one of either kind.
constexpr int LateAnswerFactor = 2;
/// A large answer that arrives on a slow link is not made later by another one.
/// One of the largest size takes this long on a link of 10 Mbit/s.
constexpr Duration MaxArrivalTime = milliseconds(1300);
/// The time limits of a read without another one beside it, of one of changes,
/// and of any read.
constexpr Duration MinTimeLimit = milliseconds(600);
constexpr Duration ChangesTimeLimit = milliseconds(1200);
constexpr Duration MaxTimeLimit = milliseconds(2400);
constexpr std::uint32_t MaxDoublings = 2;

} // namespace

PendingRead StoreReads::end(ReadKind Kind, Instant Now) {
  const auto Node = Pending_.extract(Kind);
  return Node ? Node.mapped() : PendingRead{.StartedAt_ = Now};
}

void StoreReads::recordAnswer(ReadKind Kind, std::optional<Duration> Time) {
  if (Time)
    AnswerTimes_[Kind] = std::max(*Time, Duration{});
  Timeouts_.erase(Kind);
}

bool StoreReads::isLongest(Duration Time) { return Time >= MaxTimeLimit; }

void StoreReads::markArriving(ReadKind Kind) {
  const auto Found = Pending_.find(Kind);
  if (Found != Pending_.end())
    Found->second.IsArriving_ = true;
}

bool StoreReads::isAnswerArriving() const {
  return std::any_of(Pending_.begin(), Pending_.end(),
                     [](const auto &Each) { return Each.second.IsArriving_; });
}

bool StoreReads::areLate(Instant Now) const {
  const Duration LateTime = lateAnswerTime();
  return std::all_of(Pending_.begin(), Pending_.end(), [&](const auto &Each) {
    const PendingRead &Read = Each.second;
    const Duration Allowed =
        Read.IsArriving_ ? std::max(LateTime, MaxArrivalTime) : LateTime;
    return Now >= Read.StartedAt_ + Read.Wait_ + Allowed;
  });
}

bool StoreReads::isWatchOpen() const {
  const auto Found = Pending_.find(ReadKind::Changes);
  return Found != Pending_.end() && Found->second.Wait_ > Duration{} &&
         !Found->second.IsArriving_;
}

Duration StoreReads::lateAnswerTime() const {
  Duration Fastest = Duration::max();
  for (const ReadKind Kind : {ReadKind::AllRecords, ReadKind::Changes}) {
    const auto Found = AnswerTimes_.find(Kind);
    if (Found != AnswerTimes_.end())
      Fastest = std::min(Fastest, Found->second);
  }
  if (Fastest == Duration::max())
    return ReadTiming::MaxLateAnswerTime;
  if (Fastest <= ReadTiming::PromptAnswerTime)
    return Timing_.LateAnswerTime_;
  return std::clamp(LateAnswerFactor * Fastest, Timing_.LateAnswerTime_,
                    ReadTiming::MaxLateAnswerTime);
}

std::optional<Instant> StoreReads::oldestStart() const {
  std::optional<Instant> Oldest;
  for (const auto &[Kind, Read] : Pending_)
    Oldest = std::min(Oldest.value_or(Read.StartedAt_), Read.StartedAt_);
  return Oldest;
}

Duration StoreReads::timeLimit(ReadKind Kind, bool IsLoaded) const {
  const auto Found = Timeouts_.find(Kind);
  const std::uint32_t Doublings =
      Found == Timeouts_.end() ? 0 : std::min(Found->second, MaxDoublings);
  if (!IsLoaded)
    return MinTimeLimit * (1U << Doublings);
  if (Kind == ReadKind::AllRecords)
    return MaxTimeLimit;
  return std::min(ChangesTimeLimit * (1U << Doublings), MaxTimeLimit);
}

} // namespace cranberryspool::fleet
