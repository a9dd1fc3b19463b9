#include "scheduling/kindschedule.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cranberryspool::scheduling {

namespace {

using framework::Duration;
using framework::Instant;

/// Usual rates are averaged over five minutes: a burst of a minute raises them
/// by less than a fifth of its height.
constexpr double UsualSeconds = 300;
constexpr double PresentSeconds = 2;
/// Before this much of the load was seen, nothing is known about usual rates.
constexpr double MinKnownSeconds = 10;
constexpr Duration UpdateInterval = std::chrono::milliseconds(50);
/// The promise of a kind that sends many times its usual rate.
constexpr double MinUsualPart = 1.0 / 3;
/// The part of the mean share of served calls that each kind gets at least. A
/// quarter is required; the rest is margin for the error of the rates.
constexpr double MinServedPart = 0.28;
/// A kind is owed no more calls than this, so that it does not hold up others
/// after it got less for a while.
constexpr double MaxOwedCalls = 4;
/// So many calls of a kind stay queued when calls of a higher rank fill the
/// queue: without any it could not get its minimum.
constexpr std::size_t MinQueuedCalls = 16;
constexpr double MinWeight = 1e-9;
/// Limits of the work that is accounted for.
constexpr Duration MinWork = std::chrono::milliseconds(1);
constexpr Duration MaxWork = std::chrono::minutes(10);
/// A kind is forgotten when less than this remains of its usual calls.
constexpr double MinUsual = 0.01;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

void KindSchedule::recordArrival(KindKey Kind, Duration Objective,
                                 Duration ExpectedWork, Instant Now) {
  if (Kinds_.empty())
    BegunAt_ = UpdatedAt_ = Now;
  const bool IsDue = Now - UpdatedAt_ >= UpdateInterval;
  if (IsDue)
    decay(Now);
  KindState &State = state(Kind);
  const bool HasChanged = State.Usual_ == 0 || State.Objective_ != Objective;
  State.Objective_ = Objective;
  State.Work_ = ExpectedWork;
  ++State.Usual_;
  ++State.Present_;
  ++Present_;
  if (HasChanged || IsDue)
    updateWeights();
}

void KindSchedule::add(KindKey Kind) {
  KindState &State = state(Kind);
  if (State.Queued_ == 0)
    State.Tag_ = startTag(State);
  ++State.Queued_;
  ++Queued_;
}

void KindSchedule::remove(KindKey Kind) { countRemoved(state(Kind)); }

void KindSchedule::countRemoved(KindState &Removed) {
  --Removed.Queued_;
  --Queued_;
  if (Queued_ > 0)
    return;
  // The end of a busy period: all kinds are served, so none is owed anything.
  for (KindState &State : Kinds_)
    State.Tag_ = State.LastTag_ = State.Owed_ = 0;
}

void KindSchedule::recordStarted(KindKey Kind) {
  for (KindState &State : Kinds_)
    if (State.Queued_ > 0)
      State.Owed_ =
          std::min(MaxOwedCalls,
                   State.Owed_ + MinServedPart * State.Present_ / Present_);
  KindState &Started = state(Kind);
  Started.Owed_ = std::max(0.0, Started.Owed_ - 1);
  Started.LastTag_ = Started.Tag_;
  Started.Tag_ = Started.tagAfter(1);
  countRemoved(Started);
}

KindKey KindSchedule::furthestWith(const KindState *Added) const {
  const auto Calls = [Added](const KindState &State) {
    return State.Queued_ + (&State == Added ? 1 : 0);
  };
  const KindState *Furthest = nullptr;
  const auto IsFurther = [&](const KindState &State) {
    const bool HasMany = Calls(State) > MinQueuedCalls;
    const bool HadMany = Calls(*Furthest) > MinQueuedCalls;
    if (HasMany != HadMany)
      return HasMany;
    return State.Key_.Rank_ != Furthest->Key_.Rank_ ||
           startTag(State) +
                   static_cast<double>(Calls(State)) / State.Weight_ >=
               startTag(*Furthest) +
                   static_cast<double>(Calls(*Furthest)) / Furthest->Weight_;
  };
  for (const KindState &State : Kinds_)
    if (Calls(State) > 0 && (!Furthest || IsFurther(State)))
      Furthest = &State;
  return Furthest->Key_;
}

std::size_t KindSchedule::countBefore(KindKey Kind,
                                      std::size_t OwnCallsAhead) const {
  const KindState *Own = find(Kind);
  if (!Own)
    return OwnCallsAhead;
  std::size_t Count = OwnCallsAhead;
  const double Due =
      startTag(*Own) + static_cast<double>(OwnCallsAhead) / Own->Weight_;
  for (const KindState &Other : Kinds_) {
    if (Other.Key_.Rank_ > Kind.Rank_)
      break;
    if (Other.Key_.Rank_ < Kind.Rank_) {
      Count += Other.Queued_;
      continue;
    }
    if (Other.Queued_ == 0 || Other.Key_ == Kind || Other.Tag_ > Due)
      continue;
    const double Turns = std::floor((Due - Other.Tag_) * Other.Weight_) + 1;
    Count += Turns >= static_cast<double>(Other.Queued_)
                 ? Other.Queued_
                 : static_cast<std::size_t>(Turns);
  }
  const double ByMinimum = startsByMinimum(*Own, OwnCallsAhead + 1);
  return ByMinimum < static_cast<double>(Count)
             ? static_cast<std::size_t>(ByMinimum)
             : Count;
}

double KindSchedule::startsByMinimum(const KindState &State,
                                     std::size_t Calls) const {
  const double Rate = MinServedPart * State.Present_ / Present_;
  return Rate > 0 ? static_cast<double>(Calls) / Rate
                  : std::numeric_limits<double>::max();
}

const KindSchedule::KindState *KindSchedule::find(KindKey Kind) const {
  const auto Found = std::lower_bound(
      Kinds_.begin(), Kinds_.end(), Kind,
      [](const KindState &State, KindKey Key) { return State.Key_ < Key; });
  return Found != Kinds_.end() && Found->Key_ == Kind ? &*Found : nullptr;
}

KindSchedule::KindState &KindSchedule::state(KindKey Kind) {
  const auto Place =
      std::find_if(Kinds_.begin(), Kinds_.end(),
                   [&](const KindState &State) { return State.Key_ >= Kind; });
  if (Place != Kinds_.end() && Place->Key_ == Kind)
    return *Place;
  KindState New;
  New.Key_ = Kind;
  return *Kinds_.insert(Place, New);
}

double KindSchedule::startTag(const KindState &State) const {
  if (State.Queued_ > 0)
    return State.Tag_;
  double VirtualTime = 0;
  for (const KindState &Other : Kinds_)
    if (Other.Key_.Rank_ == State.Key_.Rank_)
      VirtualTime = std::max(VirtualTime, Other.LastTag_);
  return std::max(State.Tag_, VirtualTime);
}

void KindSchedule::decay(Instant Now) {
  const double Elapsed = std::max(0.0, seconds(Now - UpdatedAt_));
  UpdatedAt_ = std::max(UpdatedAt_, Now);
  const double UsualDecay = std::exp(-Elapsed / UsualSeconds);
  const double PresentDecay = std::exp(-Elapsed / PresentSeconds);
  for (KindState &State : Kinds_) {
    State.Usual_ *= UsualDecay;
    State.Present_ *= PresentDecay;
  }
  forgetIdle();
}

void KindSchedule::updateWeights() {
  const double Age = seconds(UpdatedAt_ - BegunAt_);
  const double UsualWindow =
      Age < MinKnownSeconds
          ? 0
          : UsualSeconds * (1 - std::exp(-Age / UsualSeconds));
  IsShared_ = false;
  Present_ = 0;
  for (KindState &State : Kinds_) {
    Present_ += State.Present_;
    State.Weight_ = weight(State, UsualWindow);
    IsShared_ |= State.Key_.Rank_ != Kinds_.front().Key_.Rank_ ||
                 State.Objective_ != Kinds_.front().Objective_;
  }
}

double KindSchedule::weight(const KindState &State, double UsualWindow) {
  const double PresentRate = State.Present_ / PresentSeconds;
  const double Rate = UsualWindow > 0
                          ? std::clamp(State.Usual_ / UsualWindow,
                                       PresentRate * MinUsualPart, PresentRate)
                          : PresentRate;
  const double Work = seconds(std::clamp(State.Work_, MinWork, MaxWork));
  return std::max(MinWeight, Rate / Work);
}

void KindSchedule::forgetIdle() {
  std::erase_if(Kinds_, [](const KindState &State) {
    return State.Queued_ == 0 && State.Usual_ < MinUsual;
  });
}

} // namespace cranberryspool::scheduling
