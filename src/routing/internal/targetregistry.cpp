#include "routing/internal/targetregistry.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::routing {

namespace {

using framework::Duration;
using framework::Incarnation;
using framework::Instant;
using framework::TargetId;
using std::chrono::seconds;

/// The maximum fraction of a service's targets that are ejected at the same
/// time.
constexpr double MaxEjectedFraction = 0.34;
constexpr double LatencyWeight = 0.2;
/// How long a target that cannot be connected to is not selected unless it
/// reports. Probes usually detect sooner that it can be reached again.
constexpr Duration UnreachablePeriod = seconds(1);
/// More than one, because a single probe may fail when the target is busy.
constexpr std::uint32_t ProbeFailuresToUnreachable = 2;
constexpr double ServiceLatencyWeight = 0.02;
constexpr double SlowdownWeight = 0.05;
/// A cold start is inferred from this many responses in a row, each slower than
/// the service's average by this ratio, while the target reports no queue.
constexpr std::uint32_t SlowAnswersToInferColdStart = 6;
constexpr double ColdStartLatencyRatio = 6;
/// How long a cold target may continue a request after its connection is
/// closed.
constexpr Duration MaxRunAfterDisconnect = seconds(2);

/// Returns true when the target may still run the request.
bool mayStillRun(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::Cancelled:
  case AttemptResult::TimedOut:
  case AttemptResult::ConnectionSilent:
  case AttemptResult::ConnectionFailed:
    return true;
  case AttemptResult::Answered:
  case AttemptResult::ServerError:
  case AttemptResult::NotRun:
  case AttemptResult::NotConnected:
    return false;
  }
  return true;
}

std::int64_t microsSinceEpoch(Instant Time) {
  return Time.time_since_epoch().count();
}

} // namespace

void TargetRegistry::setTargets(std::span<const TargetDescription> Targets,
                                Instant Now) {
  std::vector<bool> IsKept(Records_.size(), false);
  for (const auto &Description : Targets) {
    addOrUpdate(Description, !HasTargetList_, Now);
    if (Description.Target_.value() < IsKept.size())
      IsKept[Description.Target_.value()] = true;
  }
  for (std::uint32_t Index = 0; Index < IsKept.size(); ++Index)
    if (!IsKept[Index])
      remove(TargetId(Index), Now);
  HasTargetList_ = HasTargetList_ || !Targets.empty();
}

void TargetRegistry::addOrUpdate(const TargetDescription &Description,
                                 bool IsFirstList, Instant Now) {
  const auto Index = Description.Target_.value();
  const auto Service = Description.Service_.value();
  LatestTime_ = std::max(LatestTime_, Now);
  if (Index >= Records_.size()) {
    Records_.resize(Index + 1);
    States_.resize(Index + 1);
    RequestLimits_.resize(Index + 1);
  }
  if (Service >= Services_.size())
    Services_.resize(Service + 1);
  Record &Entry = Records_[Index];
  if (Entry.IsListed_ &&
      States_[Index].Description_.Service_ != Description.Service_)
    remove(Description.Target_, Now);
  const TargetDescription Before = States_[Index].Description_;
  const bool IsReturning =
      Entry.IsListed_ && !Description.IsLeaving_ && Before.IsLeaving_;
  const bool IsNewProcess =
      !Entry.IsListed_ || Description.Start_ != Before.Start_;
  States_[Index].Description_ = Description;
  States_[Index].IsInLocalZone_ = Description.Zone_ == LocalZone_;
  if (!Entry.IsListed_) {
    Entry.IsListed_ = true;
    ++Services_[Service].ListedCount_;
    Entry.WarmupState_ = IsFirstList ? WarmupState::Unknown : WarmupState::Cold;
    Entry.ColdSince_ = Now;
    States_[Index].IsUntried_ = !IsFirstList;
    if (!IsFirstList && !Description.WarmupLeft_)
      Changes_.push_back({Description.Target_, TargetChangeKind::TurnedCold});
  }
  if (IsNewProcess && Description.WarmupLeft_)
    Entry.Health_.reset();
  if (IsNewProcess)
    recordRequestLimit(Description.Target_, RequestRate::unlimited(), Now);
  if (Description.WarmupLeft_ &&
      (IsNewProcess || Description.WarmupLeft_ != Before.WarmupLeft_))
    setWarmupLeft(Description.Target_, *Description.WarmupLeft_, Now);
  if (IsReturning)
    readmit(Description.Target_, Now);
  if (Description.IsLeaving_)
    handleLeaving(Description.Target_);
  updateEligibility(Description.Target_, Now);
}

void TargetRegistry::handleLeaving(TargetId Target) {
  Record &Entry = Records_[Target.value()];
  if (Entry.WarmupState_ != WarmupState::Warm || reportsWarmup(Target))
    return;
  // From now on the target may restart without any instance noticing.
  Entry.WarmupState_ = WarmupState::Unknown;
  Changes_.push_back({Target, TargetChangeKind::TurnedCold});
}

void TargetRegistry::readmit(TargetId Target, Instant Now) {
  Record &Entry = Records_[Target.value()];
  if (!Entry.Health_.isEjected())
    Entry.Health_.restore(Now);
  if (reportsWarmup(Target))
    return;
  const Duration Warmup = States_[Target.value()].Limits_.WarmupDuration_;
  const bool IsStillCold = Entry.WarmupState_ == WarmupState::Cold &&
                           Now < Entry.ColdSince_ + Warmup;
  if (IsStillCold)
    return;
  Entry.WarmupState_ = WarmupState::Unknown;
  Entry.ColdSince_ = Now;
  scheduleTimer(Now + Warmup, Target);
}

void TargetRegistry::remove(TargetId Target, Instant Now) {
  Record &Entry = Records_[Target.value()];
  if (!Entry.IsListed_)
    return;
  Entry.IsListed_ = false;
  --serviceOf(Target).ListedCount_;
  if (Entry.Health_.isEjected())
    --serviceOf(Target).EjectedCount_;
  Entry.Health_.reset();
  Entry.IsDraining_ = false;
  updateEligibility(Target, Now);
}

void TargetRegistry::setSlotShare(TargetId Target, std::uint32_t Slots,
                                  Instant Now) {
  if (Target.value() >= States_.size() ||
      States_[Target.value()].Limits_.SlotShare_ == Slots)
    return;
  States_[Target.value()].Limits_.SlotShare_ = Slots;
  updateEligibility(Target, Now);
}

void TargetRegistry::setLimits(TargetId Target, const TargetLimits &Limits) {
  if (Target.value() >= States_.size())
    return;
  TargetState &State = States_[Target.value()];
  const bool IsWarmupChanged =
      State.Limits_.WarmupDuration_ != Limits.WarmupDuration_;
  State.Limits_ = Limits;
  if (IsWarmupChanged && isCold(Target))
    scheduleTimer(Records_[Target.value()].ColdSince_ + Limits.WarmupDuration_,
                  Target);
  updateEligibility(Target, LatestTime_);
}

void TargetRegistry::recordSent(TargetId Target, Instant Now) {
  if (Target.value() >= States_.size())
    return;
  TargetState &State = States_[Target.value()];
  ++State.InFlight_;
  ++State.SentSincePeerUpdate_;
  State.IsUntried_ = false;
  State.recordSent(Now);
  if (isCold(Target) && State.Limits_.ColdRequestsPerSecond_)
    Records_[Target.value()].ColdBucket_.acquire(
        {*State.Limits_.ColdRequestsPerSecond_}, Now);
  RequestLimits_.of(Target).recordSent(Now);
  if (const auto Until = fullUntil(State); Until && Now < *Until)
    scheduleTimer(*Until, Target);
  State.SentTimeSum_ += microsSinceEpoch(Now);
  updateEligibility(Target, Now);
}

void TargetRegistry::recordEnded(TargetId Target, AttemptResult Result,
                                 Duration Elapsed, Instant Now) {
  if (Target.value() >= States_.size() || inFlight(Target) == 0)
    return;
  TargetState &State = States_[Target.value()];
  --State.InFlight_;
  State.SentTimeSum_ -= microsSinceEpoch(Now - Elapsed);
  if (Result == AttemptResult::Answered)
    recordLatency(Target, Elapsed, Now);
  // The time of a slow attempt that was cancelled in favour of its hedge still
  // counts for the target's latency.
  if (Result == AttemptResult::Cancelled || Result == AttemptResult::TimedOut)
    State.RecentLatency_.recordUnanswered(Elapsed, Now);
  if (Result == AttemptResult::NotConnected)
    markUnreachable(Target, Now);
  if (mayStillRun(Result) && isCold(Target))
    recordPossiblyRunning(Target, Now);
  Records_[Target.value()].Health_.record(healthResult(Target, Result, Now),
                                          Now);
  applyHealth(Target, Now);
  updateEligibility(Target, Now);
}

AttemptResult TargetRegistry::healthResult(TargetId Target,
                                           AttemptResult Result,
                                           Instant Now) const {
  const TargetState &State = States_[Target.value()];
  const bool MayBeFull =
      Result == AttemptResult::ConnectionFailed &&
      State.Report_.SlowdownPercent_ &&
      serviceLoad(State.Description_.Service_, Now) >= ServiceLoad::Busy;
  return MayBeFull ? AttemptResult::NotRun : Result;
}

void TargetRegistry::recordPossiblyRunning(TargetId Target, Instant Now) {
  Record &Entry = Records_[Target.value()];
  ++Entry.PossiblyRunning_;
  Entry.PossiblyRunningUntil_ = Now + MaxRunAfterDisconnect;
  scheduleTimer(Entry.PossiblyRunningUntil_, Target);
}

void TargetRegistry::recordLatency(TargetId Target, Duration Elapsed,
                                   Instant Now) {
  TargetState &State = States_[Target.value()];
  Record &Entry = Records_[Target.value()];
  ServiceState &Service = serviceOf(Target);
  const auto Sample = static_cast<double>(Elapsed.count());
  const bool IsFirst = State.LatencyMicros_ == 0;
  State.LatencyMicros_ +=
      (IsFirst ? 1.0 : LatencyWeight) * (Sample - State.LatencyMicros_);
  State.RecentLatency_.record(Elapsed, Now);
  if (Service.LatencyMicros_ == 0)
    Service.LatencyMicros_ = Sample;
  const bool IsSlow = Sample > ColdStartLatencyRatio * Service.LatencyMicros_ &&
                      State.Report_.Queued_ == 0;
  Entry.ConsecutiveSlowAnswers_ =
      IsSlow ? Entry.ConsecutiveSlowAnswers_ + 1 : 0;
  if (Entry.ConsecutiveSlowAnswers_ >= SlowAnswersToInferColdStart &&
      Entry.WarmupState_ == WarmupState::Warm && !reportsWarmup(Target))
    setCold(Target, Now);
  Service.LatencyMicros_ +=
      ServiceLatencyWeight * (Sample - Service.LatencyMicros_);
}

void TargetRegistry::applyHealth(TargetId Target, Instant Now) {
  Record &Entry = Records_[Target.value()];
  if (Entry.Health_.isBlocked(Now))
    scheduleTimer(Entry.Health_.blockedUntil(), Target);
  if (!Entry.IsListed_ || !Entry.Health_.isFailing())
    return;
  ServiceState &Service = serviceOf(Target);
  const auto MaxEjected =
      static_cast<std::uint32_t>(MaxEjectedFraction * Service.ListedCount_);
  if (Service.EjectedCount_ >=
      std::max(MaxEjected, Service.ListedCount_ > 1 ? 1U : 0U))
    return;
  Entry.Health_.eject(Now);
  ++Service.EjectedCount_;
  scheduleTimer(Entry.Health_.blockedUntil(), Target);
  Changes_.push_back({Target, TargetChangeKind::Ejected});
}

void TargetRegistry::recordReport(TargetId Target, const LoadReport &Report,
                                  Instant Now) {
  if (Target.value() >= Records_.size())
    return;
  Record &Entry = Records_[Target.value()];
  TargetState &State = States_[Target.value()];
  // A newer report of a probe may leave open whether there is a limit.
  if (Report.RequestLimit_)
    recordRequestLimit(Target, *Report.RequestLimit_, Now);
  // A report that another instance has forwarded may be older than the last
  // one.
  if (State.ReportedAt_ && Now < *State.ReportedAt_)
    return;
  State.Report_ = Report;
  State.ReportedAt_ = Now;
  State.discardSentBefore(Now);
  Entry.UnreachableUntil_ = Instant{};
  if (const auto Until = fullUntil(State); Until && Now < *Until)
    scheduleTimer(*Until, Target);
  Entry.ConsecutiveProbeFailures_ = 0;
  if (Report.SlowdownPercent_) {
    double &ServiceSlowdown = serviceOf(Target).Slowdown_;
    ServiceSlowdown +=
        SlowdownWeight * (*Report.SlowdownPercent_ / 100.0 - ServiceSlowdown);
  }
  if (Report.WarmupLeft_)
    setWarmupLeft(Target, *Report.WarmupLeft_, Now);
  if (Report.IsDraining_ && !Entry.IsDraining_)
    Changes_.push_back({Target, TargetChangeKind::Draining});
  Entry.IsDraining_ = Report.IsDraining_;
  // Reports are delayed: one from before a restart must not end the cold start.
  if (Report.IsCold_ && Entry.WarmupState_ != WarmupState::Cold)
    setCold(Target, Now);
  else if (!Report.IsCold_ && Entry.WarmupState_ == WarmupState::Unknown &&
           !State.Description_.IsLeaving_)
    setWarm(Target);
  updateEligibility(Target, Now);
}

void TargetRegistry::recordRequestLimit(TargetId Target, RequestRate Limit,
                                        Instant StatedAt) {
  if (Target.value() >= Records_.size())
    return;
  LatestTime_ = std::max(LatestTime_, StatedAt);
  if (!RequestLimits_.setLimit(Target, Limit, StatedAt, LatestTime_))
    return;
  Changes_.push_back({Target, Limit.isUnlimited()
                                  ? TargetChangeKind::LimitLifted
                                  : TargetChangeKind::Limited});
  updateEligibility(Target, LatestTime_);
}

void TargetRegistry::setSenderRank(TargetId Target,
                                   std::optional<SenderRank> Rank) {
  if (Target.value() >= Records_.size())
    return;
  RequestLimits_.of(Target).setRank(Rank);
  updateEligibility(Target, LatestTime_);
}

RequestRate TargetRegistry::requestLimit(TargetId Target) const {
  return Target.value() < Records_.size() ? RequestLimits_.of(Target).limit()
                                          : RequestRate::unlimited();
}

std::optional<TargetId> TargetRegistry::targetToConfirm(
    EligibleGroup Group, const SelectionRequest &Request, Instant Now) const {
  for (const TargetId Target : RequestLimits_.limited())
    if (States_[Target.value()].Description_.Service_ == Request.Service_ &&
        groupOf(Target) == Group &&
        RequestLimits_.of(Target).isConfirmationDue(Now) &&
        isEligible(Target, Now) &&
        std::ranges::find(Request.Excluded_, Target) == Request.Excluded_.end())
      return Target;
  return std::nullopt;
}

bool TargetRegistry::recordStartId(TargetId Target, Incarnation Start,
                                   Instant Now) {
  if (Target.value() >= Records_.size())
    return false;
  Record &Entry = Records_[Target.value()];
  if (!Entry.StartId_) {
    Entry.StartId_ = Start;
    return false;
  }
  if (Start <= *Entry.StartId_)
    return false;
  Entry.StartId_ = Start;
  Entry.IsDraining_ = false;
  markCold(Target, Now);
  return true;
}

void TargetRegistry::markCold(TargetId Target, Instant Now) {
  if (Target.value() >= Records_.size() || reportsWarmup(Target))
    return;
  setCold(Target, Now);
  updateEligibility(Target, Now);
}

void TargetRegistry::markWarm(TargetId Target, Instant Now) {
  if (Target.value() >= Records_.size() ||
      States_[Target.value()].Description_.IsLeaving_)
    return;
  // Another instance's report may date from before a restart, so that it does
  // not override evidence of a cold start.
  if (Records_[Target.value()].WarmupState_ != WarmupState::Unknown)
    return;
  setWarm(Target);
  updateEligibility(Target, Now);
}

void TargetRegistry::recordProbeFailure(TargetId Target, Instant Now) {
  if (Target.value() >= Records_.size())
    return;
  if (++Records_[Target.value()].ConsecutiveProbeFailures_ <
      ProbeFailuresToUnreachable)
    return;
  markUnreachable(Target, Now);
  updateEligibility(Target, Now);
}

void TargetRegistry::markUnreachable(TargetId Target, Instant Now) {
  Record &Entry = Records_[Target.value()];
  Entry.UnreachableUntil_ = Now + UnreachablePeriod;
  scheduleTimer(Entry.UnreachableUntil_, Target);
}

void TargetRegistry::setWarmupLeft(TargetId Target, Duration Left,
                                   Instant Now) {
  Record &Entry = Records_[Target.value()];
  if (Left <= Duration::zero()) {
    if (Entry.WarmupState_ != WarmupState::Warm)
      setWarm(Target);
    return;
  }
  Entry.ColdUntil_ = Now + Left;
  scheduleTimer(Entry.ColdUntil_, Target);
  if (Entry.WarmupState_ == WarmupState::Cold && Entry.ColdBucket_.hasStarted())
    return;
  Entry.ColdBucket_.start(Now);
  setCold(Target, Now);
}

bool TargetRegistry::reportsWarmup(TargetId Target) const {
  return States_[Target.value()].Description_.WarmupLeft_.has_value();
}

void TargetRegistry::setCold(TargetId Target, Instant Now) {
  Record &Entry = Records_[Target.value()];
  if (Entry.WarmupState_ != WarmupState::Cold)
    Changes_.push_back({Target, TargetChangeKind::TurnedCold});
  Entry.WarmupState_ = WarmupState::Cold;
  Entry.ColdSince_ = Now;
  Entry.ConsecutiveSlowAnswers_ = 0;
  States_[Target.value()].LatencyMicros_ = 0;
  States_[Target.value()].RecentLatency_ = RecentLatency();
  scheduleTimer(Now + States_[Target.value()].Limits_.WarmupDuration_, Target);
}

void TargetRegistry::setWarm(TargetId Target) {
  Records_[Target.value()].WarmupState_ = WarmupState::Warm;
  Changes_.push_back({Target, TargetChangeKind::TurnedWarm});
}

void TargetRegistry::recordPeerInFlight(TargetId Target, std::uint32_t Sum,
                                        Instant Now) {
  if (Target.value() >= States_.size())
    return;
  TargetState &State = States_[Target.value()];
  State.PeerInFlight_ = Sum;
  State.PeerInFlightAt_ = Now;
  State.SentSincePeerUpdate_ = 0;
}

} // namespace cranberryspool::routing
