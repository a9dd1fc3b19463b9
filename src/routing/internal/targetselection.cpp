#include "routing/internal/targetregistry.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberryspool::routing {

namespace {

using framework::Duration;
using framework::Instant;
using framework::TargetId;

/// The response time of a service before its first response.
constexpr Duration AssumedLatency = std::chrono::milliseconds(200);
/// A target whose slots were all taken counts as full for at least and at most
/// this long after its report.
constexpr Duration MinFullTime = std::chrono::milliseconds(20);
constexpr Duration MaxFullTime = std::chrono::seconds(2);
/// The utilization of the slots, including queued requests, from which a
/// service counts as busy or as saturated.
constexpr double BusyUtilization = 0.8;
constexpr double SaturatedUtilization = 1.2;
/// Short, because targets change their speed many times a second.
constexpr Duration SlowdownReportLifetime = std::chrono::milliseconds(300);
constexpr Duration MinReportAgeToProbe = std::chrono::seconds(1);

} // namespace

void TargetRegistry::advance(Instant Now) {
  LatestTime_ = std::max(LatestTime_, Now);
  while (!Timers_.empty() && Timers_.top().At_ <= Now) {
    const TargetId Target = Timers_.top().Target_;
    Timers_.pop();
    handleTimer(Target, Now);
  }
}

void TargetRegistry::handleTimer(TargetId Target, Instant Now) {
  Record &Entry = Records_[Target.value()];
  const TargetState &State = States_[Target.value()];
  if (Entry.Health_.isEjected() && !Entry.Health_.isBlocked(Now)) {
    Entry.Health_.restore(Now);
    --serviceOf(Target).EjectedCount_;
    Changes_.push_back({Target, TargetChangeKind::Restored});
  }
  if (Now >= Entry.PossiblyRunningUntil_)
    Entry.PossiblyRunning_ = 0;
  if (RequestLimits_.expire(Target, Now))
    Changes_.push_back({Target, TargetChangeKind::LimitLifted});
  const bool MayReceiveAttempts =
      Entry.IsListed_ && !State.Description_.IsLeaving_;
  if (reportsWarmup(Target)) {
    if (isCold(Entry) && Now >= Entry.ColdUntil_)
      setWarm(Target);
  } else if (isCold(Entry) && MayReceiveAttempts &&
             Now >= Entry.ColdSince_ + State.Limits_.WarmupDuration_) {
    if (State.Report_.IsCold_ && State.ReportedAt_ >= Entry.ColdSince_)
      setCold(Target, Now);
    else
      setWarm(Target);
  }
  updateEligibility(Target, Now);
}

Instant TargetRegistry::nextWakeUp() const {
  return Timers_.empty() ? Instant::max() : Timers_.top().At_;
}

void TargetRegistry::scheduleTimer(Instant At, TargetId Target) {
  Timers_.push({At, Target});
}

void TargetRegistry::updateEligibility(TargetId Target, Instant Now) {
  Record &Entry = Records_[Target.value()];
  const bool WasEligible = Entry.EligibleIndex_ != NotEligible;
  const bool IsEligible = isEligible(Target, Now);
  const auto &ColdRate = States_[Target.value()].Limits_.ColdRequestsPerSecond_;
  if (!IsEligible && Entry.IsListed_ && isCold(Entry) && ColdRate &&
      *ColdRate > 0)
    if (const auto At = Entry.ColdBucket_.nextAvailability({*ColdRate}, Now))
      scheduleTimer(*At, Target);
  if (!IsEligible && Entry.IsListed_)
    if (const auto At = RequestLimits_.of(Target).nextWakeUp(Now))
      scheduleTimer(*At, Target);
  if (WasEligible && IsEligible && Entry.EligibleGroup_ == groupOf(Target))
    return;
  if (WasEligible)
    removeEligible(Target);
  if (IsEligible)
    addEligible(Target);
}

EligibleGroup TargetRegistry::groupOf(TargetId Target) const {
  return States_[Target.value()].Description_.IsUnconfirmed_
             ? EligibleGroup::Unconfirmed
             : EligibleGroup::Confirmed;
}

void TargetRegistry::addEligible(TargetId Target) {
  Record &Entry = Records_[Target.value()];
  Entry.EligibleGroup_ = groupOf(Target);
  auto &Eligible = serviceOf(Target).eligible(Entry.EligibleGroup_);
  Entry.EligibleIndex_ = static_cast<std::uint32_t>(Eligible.size());
  Eligible.push_back(Target);
}

void TargetRegistry::removeEligible(TargetId Target) {
  Record &Entry = Records_[Target.value()];
  auto &Eligible = serviceOf(Target).eligible(Entry.EligibleGroup_);
  Records_[Eligible.back().value()].EligibleIndex_ = Entry.EligibleIndex_;
  Eligible[Entry.EligibleIndex_] = Eligible.back();
  Eligible.pop_back();
  Entry.EligibleIndex_ = NotEligible;
}

bool TargetRegistry::isEligible(TargetId Target, Instant Now) const {
  const Record &Entry = Records_[Target.value()];
  const TargetState &State = States_[Target.value()];
  if (!Entry.IsListed_ || State.Description_.IsLeaving_ || Entry.IsDraining_)
    return false;
  if (Entry.Health_.isEjected() || Entry.Health_.isBlocked(Now))
    return false;
  if (Now < Entry.UnreachableUntil_ ||
      (!State.hasFreeShare() && isFull(State, Now)))
    return false;
  if (!RequestLimits_.of(Target).canSend(Now))
    return false;
  std::uint32_t Limit =
      std::min(Entry.Health_.inFlightLimit(State.Description_.Slots_),
               State.Limits_.MaxConnections_);
  if (!isCold(Entry))
    return State.InFlight_ < Limit;
  if (const auto &Rate = State.Limits_.ColdRequestsPerSecond_)
    return *Rate > 0 && State.InFlight_ < Limit &&
           Entry.ColdBucket_.canAcquire({*Rate}, Now);
  Limit = std::min(Limit, State.Limits_.MaxColdInFlight_);
  return State.InFlight_ + Entry.PossiblyRunning_ < Limit;
}

std::optional<Instant>
TargetRegistry::fullUntil(const TargetState &State) const {
  // Only targets that report their slowdown are known to report in time.
  if (!State.ReportedAt_ || !State.Report_.SlowdownPercent_)
    return std::nullopt;
  const double Slots = std::max(State.Description_.Slots_, 1U);
  const double Load = State.Report_.InFlight_ + State.Report_.Queued_ +
                      static_cast<double>(std::min<std::size_t>(
                          State.SentSinceReport_.size(), State.InFlight_));
  const double Excess = Load - Slots + 1;
  if (Excess <= 0)
    return std::nullopt;
  const double MeanLatency =
      Services_[State.Description_.Service_.value()].LatencyMicros_;
  const double Latency = MeanLatency > 0
                             ? MeanLatency
                             : static_cast<double>(AssumedLatency.count());
  const auto DrainTime = Duration(std::llround(Excess * Latency / Slots));
  return *State.ReportedAt_ + std::clamp(DrainTime, MinFullTime, MaxFullTime);
}

bool TargetRegistry::isKnown(TargetId Target) const {
  return Target.value() < Records_.size() && Records_[Target.value()].IsListed_;
}

bool TargetRegistry::isCold(TargetId Target) const {
  return Target.value() < Records_.size() && isCold(Records_[Target.value()]);
}

ServiceLoad TargetRegistry::serviceLoad(framework::ServiceId Service,
                                        Instant Now) const {
  double Load = 0;
  double Slots = 0;
  for (std::size_t Index = 0; Index < States_.size(); ++Index) {
    const TargetState &State = States_[Index];
    if (!Records_[Index].IsListed_ || State.Description_.Service_ != Service ||
        State.Description_.IsLeaving_ || isCold(Records_[Index]) ||
        !State.ReportedAt_ || Now - *State.ReportedAt_ > MaxFullTime)
      continue;
    Slots += State.Description_.Slots_;
    Load += State.Report_.InFlight_ + State.Report_.Queued_;
  }
  if (Slots == 0)
    return ServiceLoad::Unknown;
  if (Load >= SaturatedUtilization * Slots)
    return ServiceLoad::Saturated;
  return Load >= BusyUtilization * Slots ? ServiceLoad::Busy : ServiceLoad::Low;
}

Duration TargetRegistry::serviceLatency(framework::ServiceId Service) const {
  if (Service.value() >= Services_.size())
    return Duration::zero();
  return Duration(std::llround(Services_[Service.value()].LatencyMicros_));
}

double TargetRegistry::slowdown(TargetId Target, Instant Now) const {
  if (Target.value() >= States_.size())
    return 1;
  const TargetState &State = States_[Target.value()];
  const bool IsFresh =
      State.ReportedAt_ && Now - *State.ReportedAt_ < SlowdownReportLifetime;
  if (!IsFresh || !State.Report_.SlowdownPercent_)
    return 1;
  return *State.Report_.SlowdownPercent_ / 100.0;
}

std::uint32_t TargetRegistry::inFlight(TargetId Target) const {
  return Target.value() < States_.size() ? States_[Target.value()].InFlight_
                                         : 0;
}

const TargetState &TargetRegistry::state(TargetId Target) const {
  return States_.at(Target.value());
}

bool TargetRegistry::isAvoided(TargetId Target) const {
  if (!isKnown(Target) || groupOf(Target) == EligibleGroup::Confirmed)
    return false;
  const auto Service = States_[Target.value()].Description_.Service_.value();
  return !Services_[Service].eligible(EligibleGroup::Confirmed).empty();
}

Candidates TargetRegistry::candidates(EligibleGroup Group,
                                      const SelectionRequest &Request,
                                      Instant Now) const {
  static const std::vector<TargetId> None;
  const auto Service = Request.Service_.value();
  if (Service >= Services_.size())
    return {States_, None, Request, 0, 1, Now};
  const ServiceState &State = Services_[Service];
  return {States_,         State.eligible(Group),
          Request,         State.LatencyMicros_,
          State.Slowdown_, Now};
}

void TargetRegistry::probeCandidates(std::size_t Max, Instant Now,
                                     std::vector<TargetId> &Output) const {
  std::vector<std::pair<Instant, TargetId>> Stale;
  for (std::uint32_t Index = 0; Index < Records_.size(); ++Index) {
    const TargetState &State = States_[Index];
    const Instant ReportedAt = State.ReportedAt_.value_or(Instant{});
    const bool IsFresh =
        State.ReportedAt_ && Now - ReportedAt < MinReportAgeToProbe;
    if (!Records_[Index].IsListed_ || State.Description_.IsLeaving_ || IsFresh)
      continue;
    Stale.emplace_back(ReportedAt, TargetId(Index));
  }
  const auto Count = std::min(Max, Stale.size());
  std::partial_sort(Stale.begin(), Stale.begin() + Count, Stale.end());
  for (std::size_t Index = 0; Index < Count; ++Index)
    Output.push_back(Stale[Index].second);
}

std::vector<TargetChange> TargetRegistry::takeChanges() {
  return std::exchange(Changes_, {});
}

TargetRegistry::ServiceState &TargetRegistry::serviceOf(TargetId Target) {
  return Services_[States_[Target.value()].Description_.Service_.value()];
}

} // namespace cranberryspool::routing
