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

/// Never more than this share of a service's targets is ejected at once.
constexpr double MaxEjectedShare = 0.34;
constexpr double LatencyWeight = 0.2;
/// A target that has just reported so many waiting requests for each slot gets
/// none: they would be late or, where it is full, be cut.
constexpr double MaxQueuedPerSlot = 1.5;
constexpr Duration FullReport = std::chrono::milliseconds(200);
/// How long a target that cannot be connected to gets nothing unless it
/// reports; probes find out sooner when it is back.
constexpr Duration UnreachableTime = seconds(1);
/// A single probe may fail because the target is busy.
constexpr std::uint32_t FailedProbesOfUnreachable = 2;
constexpr double ServiceLatencyWeight = 0.02;
constexpr double SlowdownWeight = 0.05;
/// Targets change their speed many times a second.
constexpr Duration FreshReport = std::chrono::milliseconds(300);
/// A cold start shows as so many answers in a row, each so many times slower
/// than the service's average, while the target reports no queue.
constexpr std::uint32_t SlowAnswersOfColdStart = 6;
constexpr double SlownessOfColdStart = 6;
constexpr Duration ReportAgeToProbe = seconds(1);
/// How long a cold target may go on with a request whose connection is gone.
constexpr Duration MaxRunAfterCut = seconds(2);

/// True when the target may still run the request.
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

std::int64_t micros(Instant Time) { return Time.time_since_epoch().count(); }

} // namespace

void TargetRegistry::setTargets(std::span<const TargetDescription> Targets,
                                Instant Now) {
  std::vector<bool> IsKept(Records_.size(), false);
  for (const auto &Description : Targets) {
    list(Description, !HasPicture_, Now);
    if (Description.Target_.value() < IsKept.size())
      IsKept[Description.Target_.value()] = true;
  }
  for (std::uint32_t Index = 0; Index < IsKept.size(); ++Index)
    if (!IsKept[Index])
      unlist(TargetId(Index), Now);
  HasPicture_ = HasPicture_ || !Targets.empty();
}

void TargetRegistry::list(const TargetDescription &Description,
                          bool IsFirstPicture, Instant Now) {
  const auto Index = Description.Target_.value();
  const auto Service = Description.Service_.value();
  LastSeen_ = std::max(LastSeen_, Now);
  if (Index >= Records_.size()) {
    Records_.resize(Index + 1);
    States_.resize(Index + 1);
  }
  if (Service >= Groups_.size())
    Groups_.resize(Service + 1);
  Record &Entry = Records_[Index];
  if (Entry.IsListed_ &&
      States_[Index].Description_.Service_ != Description.Service_)
    unlist(Description.Target_, Now);
  const TargetDescription Before = States_[Index].Description_;
  const bool IsBack =
      Entry.IsListed_ && !Description.IsLeaving_ && Before.IsLeaving_;
  const bool IsNewLife =
      !Entry.IsListed_ || Description.Start_ != Before.Start_;
  States_[Index].Description_ = Description;
  States_[Index].IsInOwnZone_ = Description.Zone_ == OwnZone_;
  if (!Entry.IsListed_) {
    Entry.IsListed_ = true;
    ++Groups_[Service].Listed_;
    Entry.Temperature_ =
        IsFirstPicture ? Temperature::Unknown : Temperature::Cold;
    Entry.ColdSince_ = Now;
    States_[Index].IsUntried_ = !IsFirstPicture;
    if (!IsFirstPicture && !Description.WarmupLeft_)
      Changes_.push_back({Description.Target_, TargetChangeKind::TurnedCold});
  }
  if (IsNewLife && Description.WarmupLeft_)
    Entry.Health_.reset();
  if (Description.WarmupLeft_ &&
      (IsNewLife || Description.WarmupLeft_ != Before.WarmupLeft_))
    setWarmupLeft(Description.Target_, *Description.WarmupLeft_, Now);
  if (IsBack)
    readmit(Description.Target_, Now);
  if (Description.IsLeaving_)
    release(Description.Target_);
  refresh(Description.Target_, Now);
}

void TargetRegistry::release(TargetId Target) {
  Record &Entry = Records_[Target.value()];
  if (Entry.Temperature_ != Temperature::Warm || tellsWarmup(Target))
    return;
  // From now on it may restart without anybody noticing.
  Entry.Temperature_ = Temperature::Unknown;
  Changes_.push_back({Target, TargetChangeKind::TurnedCold});
}

void TargetRegistry::readmit(TargetId Target, Instant Now) {
  Record &Entry = Records_[Target.value()];
  if (!Entry.Health_.isEjected())
    Entry.Health_.restore(Now);
  if (tellsWarmup(Target))
    return;
  const Duration Warmup = States_[Target.value()].Bounds_.WarmupDuration_;
  const bool IsStillCold = Entry.Temperature_ == Temperature::Cold &&
                           Now < Entry.ColdSince_ + Warmup;
  if (IsStillCold)
    return;
  Entry.Temperature_ = Temperature::Unknown;
  Entry.ColdSince_ = Now;
  wakeAt(Now + Warmup, Target);
}

void TargetRegistry::unlist(TargetId Target, Instant Now) {
  Record &Entry = Records_[Target.value()];
  if (!Entry.IsListed_)
    return;
  Entry.IsListed_ = false;
  --group(Target).Listed_;
  if (Entry.Health_.isEjected())
    --group(Target).Ejected_;
  Entry.Health_.reset();
  Entry.IsDraining_ = false;
  refresh(Target, Now);
}

void TargetRegistry::setLimits(TargetId Target, const TargetLimits &Bounds) {
  if (Target.value() >= States_.size())
    return;
  TargetState &State = States_[Target.value()];
  const bool IsWarmupChanged =
      State.Bounds_.WarmupDuration_ != Bounds.WarmupDuration_;
  State.Bounds_ = Bounds;
  if (IsWarmupChanged && isCold(Target))
    wakeAt(Records_[Target.value()].ColdSince_ + Bounds.WarmupDuration_,
           Target);
  refresh(Target, LastSeen_);
}

void TargetRegistry::recordSent(TargetId Target, Instant Now) {
  if (Target.value() >= States_.size())
    return;
  TargetState &State = States_[Target.value()];
  ++State.InFlight_;
  ++State.SentSincePeers_;
  State.IsUntried_ = false;
  State.recordSent(Now);
  if (isCold(Target) && State.Bounds_.ColdRequestsPerSecond_)
    Records_[Target.value()].Allowance_.take(
        *State.Bounds_.ColdRequestsPerSecond_, Now);
  State.SentTimeSum_ += micros(Now);
  refresh(Target, Now);
}

void TargetRegistry::recordEnded(TargetId Target, AttemptResult Result,
                                 Duration Elapsed, Instant Now) {
  if (Target.value() >= States_.size() || inFlight(Target) == 0)
    return;
  TargetState &State = States_[Target.value()];
  --State.InFlight_;
  State.SentTimeSum_ -= micros(Now - Elapsed);
  if (Result == AttemptResult::Answered)
    recordLatency(Target, Elapsed, Now);
  // A slow attempt that a hedge has overtaken still tells of the target.
  if (Result == AttemptResult::Cancelled || Result == AttemptResult::TimedOut)
    State.Recent_.recordUnanswered(Elapsed, Now);
  if (Result == AttemptResult::NotConnected)
    markUnreachable(Target, Now);
  if (mayStillRun(Result) && isCold(Target))
    recordPossiblyRunning(Target, Now);
  Records_[Target.value()].Health_.record(Result, Now);
  judgeHealth(Target, Now);
  refresh(Target, Now);
}

void TargetRegistry::recordPossiblyRunning(TargetId Target, Instant Now) {
  Record &Entry = Records_[Target.value()];
  ++Entry.Cut_;
  Entry.CutUntil_ = Now + MaxRunAfterCut;
  wakeAt(Entry.CutUntil_, Target);
}

void TargetRegistry::recordLatency(TargetId Target, Duration Elapsed,
                                   Instant Now) {
  TargetState &State = States_[Target.value()];
  Record &Entry = Records_[Target.value()];
  ServiceGroup &Service = group(Target);
  const auto Sample = static_cast<double>(Elapsed.count());
  const bool IsFirst = State.LatencyMicros_ == 0;
  State.LatencyMicros_ +=
      (IsFirst ? 1.0 : LatencyWeight) * (Sample - State.LatencyMicros_);
  State.Recent_.record(Elapsed, Now);
  if (Service.LatencyMicros_ == 0)
    Service.LatencyMicros_ = Sample;
  const bool IsSlow = Sample > SlownessOfColdStart * Service.LatencyMicros_ &&
                      State.Report_.Queued_ == 0;
  Entry.SlowStreak_ = IsSlow ? Entry.SlowStreak_ + 1 : 0;
  if (Entry.SlowStreak_ >= SlowAnswersOfColdStart &&
      Entry.Temperature_ == Temperature::Warm && !tellsWarmup(Target))
    turnCold(Target, Now);
  Service.LatencyMicros_ +=
      ServiceLatencyWeight * (Sample - Service.LatencyMicros_);
}

void TargetRegistry::judgeHealth(TargetId Target, Instant Now) {
  Record &Entry = Records_[Target.value()];
  if (Entry.Health_.isPaused(Now))
    wakeAt(Entry.Health_.blockedUntil(), Target);
  if (!Entry.IsListed_ || !Entry.Health_.isFailing())
    return;
  ServiceGroup &Service = group(Target);
  const auto MaxEjected =
      static_cast<std::uint32_t>(MaxEjectedShare * Service.Listed_);
  if (Service.Ejected_ >= std::max(MaxEjected, Service.Listed_ > 1 ? 1U : 0U))
    return;
  Entry.Health_.eject(Now);
  ++Service.Ejected_;
  wakeAt(Entry.Health_.blockedUntil(), Target);
  Changes_.push_back({Target, TargetChangeKind::Ejected});
}

void TargetRegistry::recordReport(TargetId Target, const LoadReport &Report,
                                  Instant Now) {
  if (Target.value() >= Records_.size())
    return;
  Record &Entry = Records_[Target.value()];
  TargetState &State = States_[Target.value()];
  // Reports that others pass on may be older than one that is known.
  if (State.ReportedAt_ && Now < *State.ReportedAt_)
    return;
  State.Report_ = Report;
  State.ReportedAt_ = Now;
  State.forgetSentBefore(Now);
  Entry.UnreachableUntil_ = Instant{};
  if (isFull(State, Now))
    wakeAt(Now + FullReport, Target);
  Entry.FailedProbes_ = 0;
  if (Report.SlowdownPercent_) {
    double &Usual = group(Target).Slowdown_;
    Usual += SlowdownWeight * (*Report.SlowdownPercent_ / 100.0 - Usual);
  }
  if (Report.WarmupLeft_)
    setWarmupLeft(Target, *Report.WarmupLeft_, Now);
  if (Report.IsDraining_ && !Entry.IsDraining_)
    Changes_.push_back({Target, TargetChangeKind::Draining});
  Entry.IsDraining_ = Report.IsDraining_;
  // Reports lag: one from before a restart cannot end the cold start.
  if (Report.IsCold_ && Entry.Temperature_ != Temperature::Cold)
    turnCold(Target, Now);
  else if (!Report.IsCold_ && Entry.Temperature_ == Temperature::Unknown &&
           !State.Description_.IsLeaving_)
    turnWarm(Target);
  refresh(Target, Now);
}

bool TargetRegistry::recordStartId(TargetId Target, Incarnation Start,
                                   Instant Now) {
  if (Target.value() >= Records_.size())
    return false;
  Record &Entry = Records_[Target.value()];
  if (!Entry.Start_) {
    Entry.Start_ = Start;
    return false;
  }
  if (Start <= *Entry.Start_)
    return false;
  Entry.Start_ = Start;
  Entry.IsDraining_ = false;
  markCold(Target, Now);
  return true;
}

void TargetRegistry::markCold(TargetId Target, Instant Now) {
  if (Target.value() >= Records_.size() || tellsWarmup(Target))
    return;
  turnCold(Target, Now);
  refresh(Target, Now);
}

void TargetRegistry::markWarm(TargetId Target, Instant Now) {
  if (Target.value() >= Records_.size() ||
      States_[Target.value()].Description_.IsLeaving_)
    return;
  // A word of before a restart can come after it: seen evidence outweighs it.
  if (Records_[Target.value()].Temperature_ != Temperature::Unknown)
    return;
  turnWarm(Target);
  refresh(Target, Now);
}

void TargetRegistry::recordProbeFailure(TargetId Target, Instant Now) {
  if (Target.value() >= Records_.size())
    return;
  if (++Records_[Target.value()].FailedProbes_ < FailedProbesOfUnreachable)
    return;
  markUnreachable(Target, Now);
  refresh(Target, Now);
}

void TargetRegistry::markUnreachable(TargetId Target, Instant Now) {
  Record &Entry = Records_[Target.value()];
  Entry.UnreachableUntil_ = Now + UnreachableTime;
  wakeAt(Entry.UnreachableUntil_, Target);
}

void TargetRegistry::setWarmupLeft(TargetId Target, Duration Left,
                                   Instant Now) {
  Record &Entry = Records_[Target.value()];
  if (Left <= Duration::zero()) {
    if (Entry.Temperature_ != Temperature::Warm)
      turnWarm(Target);
    return;
  }
  Entry.ColdUntil_ = Now + Left;
  wakeAt(Entry.ColdUntil_, Target);
  if (Entry.Temperature_ == Temperature::Cold && Entry.Allowance_.isStarted())
    return;
  Entry.Allowance_.start(Now);
  turnCold(Target, Now);
}

bool TargetRegistry::tellsWarmup(TargetId Target) const {
  return States_[Target.value()].Description_.WarmupLeft_.has_value();
}

void TargetRegistry::turnCold(TargetId Target, Instant Now) {
  Record &Entry = Records_[Target.value()];
  if (Entry.Temperature_ != Temperature::Cold)
    Changes_.push_back({Target, TargetChangeKind::TurnedCold});
  Entry.Temperature_ = Temperature::Cold;
  Entry.ColdSince_ = Now;
  Entry.SlowStreak_ = 0;
  States_[Target.value()].LatencyMicros_ = 0;
  States_[Target.value()].Recent_ = RecentAnswers();
  wakeAt(Now + States_[Target.value()].Bounds_.WarmupDuration_, Target);
}

void TargetRegistry::turnWarm(TargetId Target) {
  Records_[Target.value()].Temperature_ = Temperature::Warm;
  Changes_.push_back({Target, TargetChangeKind::TurnedWarm});
}

void TargetRegistry::recordPeerInFlight(TargetId Target, std::uint32_t Sum,
                                        Instant Now) {
  if (Target.value() >= States_.size())
    return;
  TargetState &State = States_[Target.value()];
  State.PeerInFlight_ = Sum;
  State.PeerInFlightAt_ = Now;
  State.SentSincePeers_ = 0;
}

void TargetRegistry::advance(Instant Now) {
  LastSeen_ = std::max(LastSeen_, Now);
  while (!Timers_.empty() && Timers_.top().At_ <= Now) {
    const TargetId Target = Timers_.top().Target_;
    Timers_.pop();
    expire(Target, Now);
  }
}

void TargetRegistry::expire(TargetId Target, Instant Now) {
  Record &Entry = Records_[Target.value()];
  const TargetState &State = States_[Target.value()];
  if (Entry.Health_.isEjected() && !Entry.Health_.isPaused(Now)) {
    Entry.Health_.restore(Now);
    --group(Target).Ejected_;
    Changes_.push_back({Target, TargetChangeKind::Restored});
  }
  if (Now >= Entry.CutUntil_)
    Entry.Cut_ = 0;
  const bool TakesWork = Entry.IsListed_ && !State.Description_.IsLeaving_;
  if (tellsWarmup(Target)) {
    if (isCold(Entry) && Now >= Entry.ColdUntil_)
      turnWarm(Target);
  } else if (isCold(Entry) && TakesWork &&
             Now >= Entry.ColdSince_ + State.Bounds_.WarmupDuration_) {
    if (State.Report_.IsCold_ && State.ReportedAt_ >= Entry.ColdSince_)
      turnCold(Target, Now);
    else
      turnWarm(Target);
  }
  refresh(Target, Now);
}

Instant TargetRegistry::nextWakeUp() const {
  return Timers_.empty() ? Instant::max() : Timers_.top().At_;
}

void TargetRegistry::wakeAt(Instant At, TargetId Target) {
  Timers_.push({At, Target});
}

void TargetRegistry::refresh(TargetId Target, Instant Now) {
  Record &Entry = Records_[Target.value()];
  auto &Open = group(Target).Open_;
  const bool IsOpen = Entry.OpenPosition_ != NotOpen;
  const bool ShallBeOpen = mayTakeOne(Target, Now);
  const auto &ColdRate = States_[Target.value()].Bounds_.ColdRequestsPerSecond_;
  if (!ShallBeOpen && Entry.IsListed_ && isCold(Entry) && ColdRate &&
      *ColdRate > 0)
    if (const auto At = Entry.Allowance_.wakeUp(*ColdRate, Now))
      wakeAt(*At, Target);
  if (IsOpen == ShallBeOpen)
    return;
  if (ShallBeOpen) {
    Entry.OpenPosition_ = static_cast<std::uint32_t>(Open.size());
    Open.push_back(Target);
    return;
  }
  Records_[Open.back().value()].OpenPosition_ = Entry.OpenPosition_;
  Open[Entry.OpenPosition_] = Open.back();
  Open.pop_back();
  Entry.OpenPosition_ = NotOpen;
}

bool TargetRegistry::mayTakeOne(TargetId Target, Instant Now) const {
  const Record &Entry = Records_[Target.value()];
  const TargetState &State = States_[Target.value()];
  if (!Entry.IsListed_ || State.Description_.IsLeaving_ || Entry.IsDraining_)
    return false;
  if (Entry.Health_.isEjected() || Entry.Health_.isPaused(Now))
    return false;
  if (Now < Entry.UnreachableUntil_ || isFull(State, Now))
    return false;
  std::uint32_t Limit = std::min(Entry.Health_.limit(State.Description_.Slots_),
                                 State.Bounds_.MaxConnections_);
  if (!isCold(Entry))
    return State.InFlight_ < Limit;
  if (const auto &Rate = State.Bounds_.ColdRequestsPerSecond_)
    return *Rate > 0 && State.InFlight_ < Limit &&
           Entry.Allowance_.mayTake(*Rate, Now);
  Limit = std::min(Limit, State.Bounds_.ColdInFlight_);
  return State.InFlight_ + Entry.Cut_ < Limit;
}

bool TargetRegistry::isFull(const TargetState &State, Instant Now) {
  if (!State.ReportedAt_ || Now - *State.ReportedAt_ >= FullReport)
    return false;
  // Only targets that report their slowness are known to report in time.
  return State.Report_.SlowdownPercent_ &&
         State.Report_.Queued_ >= MaxQueuedPerSlot * State.Description_.Slots_;
}

bool TargetRegistry::isKnown(TargetId Target) const {
  return Target.value() < Records_.size() && Records_[Target.value()].IsListed_;
}

bool TargetRegistry::isCold(TargetId Target) const {
  return Target.value() < Records_.size() && isCold(Records_[Target.value()]);
}

double TargetRegistry::slowdown(TargetId Target, Instant Now) const {
  if (Target.value() >= States_.size())
    return 1;
  const TargetState &State = States_[Target.value()];
  const bool IsFresh =
      State.ReportedAt_ && Now - *State.ReportedAt_ < FreshReport;
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

Candidates TargetRegistry::candidates(const SelectionRequest &Request,
                                      Instant Now) const {
  static const std::vector<TargetId> None;
  const auto Service = Request.Service_.value();
  if (Service >= Groups_.size())
    return {States_, None, Request, 0, 1, Now};
  const ServiceGroup &Group = Groups_[Service];
  return {States_,         Group.Open_, Request, Group.LatencyMicros_,
          Group.Slowdown_, Now};
}

void TargetRegistry::probeCandidates(std::size_t Max, Instant Now,
                                     std::vector<TargetId> &Output) const {
  std::vector<std::pair<Instant, TargetId>> Unseen;
  for (std::uint32_t Index = 0; Index < Records_.size(); ++Index) {
    const TargetState &State = States_[Index];
    const Instant SeenAt = State.ReportedAt_.value_or(Instant{});
    const bool IsFresh = State.ReportedAt_ && Now - SeenAt < ReportAgeToProbe;
    if (!Records_[Index].IsListed_ || State.Description_.IsLeaving_ || IsFresh)
      continue;
    Unseen.emplace_back(SeenAt, TargetId(Index));
  }
  const auto Count = std::min(Max, Unseen.size());
  std::partial_sort(Unseen.begin(), Unseen.begin() + Count, Unseen.end());
  for (std::size_t Index = 0; Index < Count; ++Index)
    Output.push_back(Unseen[Index].second);
}

std::vector<TargetChange> TargetRegistry::takeChanges() {
  return std::exchange(Changes_, {});
}

TargetRegistry::ServiceGroup &TargetRegistry::group(TargetId Target) {
  return Groups_[States_[Target.value()].Description_.Service_.value()];
}

} // namespace cranberryspool::routing
