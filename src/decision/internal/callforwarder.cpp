#include "decision/internal/callforwarder.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace cranberryspool::decision {

namespace {

/// The number of instances to which one call is offered.
constexpr std::ptrdiff_t MaxForwardTries = 6;
/// An instance that did not take a call gets none for this long.
constexpr framework::Duration PeerAvoidTime = std::chrono::seconds(3);
constexpr std::uint32_t MaxConnectionsPerPeer = 32;
/// The calls in progress that an instance takes from others.
constexpr std::ptrdiff_t MaxCallsFromPeers = 64;

std::string replacePort(const std::string &Address, std::uint16_t Port) {
  return Address.substr(0, Address.rfind(':') + 1) + std::to_string(Port);
}

} // namespace

bool CallForwarder::mayForward(const calls::Call &Call) const {
  const bool HasReachedNoTarget = !Call.MayHaveRun_ &&
                                  Call.SentAttempts_ == 0 &&
                                  Call.LiveAttempts_.empty();
  return isCutOff() && HasReachedNoTarget && !Call.Request_.IsFromPeer_ &&
         !Call.HoldsKey_ && !Call.IsCallerGone_;
}

bool CallForwarder::tryForward(const EventContext &Context, calls::Call &Call) {
  if (!mayForward(Call))
    return false;
  const auto Peer = choosePeer(Context, Call);
  if (!Peer)
    return false;
  if (Call.State_ == calls::CallState::Running && !Call.IsForwarded_)
    Core_.Queue_.recordEnded(Call.Request_.Service_, Call.Request_.Urgency_,
                             Call.LastResult_, Context.now() - Call.StartedAt_,
                             routing::ServiceLoad::Low, Context.now());
  Core_.Queue_.remove(Call.Request_.Call_);
  Call.IsForwarded_ = true;
  ++Core_.Counters_.CallsForwarded_;
  Attempts_.start(Context, Call, *Peer, calls::AttemptKind::Forward);
  return true;
}

std::optional<framework::TargetId>
CallForwarder::choosePeer(const EventContext &Context,
                          const calls::Call &Call) {
  const auto Tries =
      std::count_if(Call.UsedTargets_.begin(), Call.UsedTargets_.end(),
                    [&](framework::TargetId Used) {
                      return Core_.Environment_.isPeer(Used);
                    });
  if (Tries >= MaxForwardTries)
    return std::nullopt;
  // Traffic between zones is expensive, so the own zone comes first.
  std::vector<framework::TargetId> OwnZone;
  std::vector<framework::TargetId> OtherZones;
  for (const document::PublishedInstance &Each : Core_.Fleet_.runningPeers()) {
    const framework::TargetId Peer = Core_.Environment_.internPeer(
        Each.Name_, replacePort(Each.Address_, Core_.Settings_.ForwardPort_));
    const bool IsUsed =
        std::find(Call.UsedTargets_.begin(), Call.UsedTargets_.end(), Peer) !=
        Call.UsedTargets_.end();
    if (IsUsed || isAvoided(Peer, Context.now()))
      continue;
    const bool IsInOwnZone = Each.Zone_ == Core_.Settings_.Zone_;
    (IsInOwnZone ? OwnZone : OtherZones).push_back(Peer);
  }
  const auto &Candidates = OwnZone.empty() ? OtherZones : OwnZone;
  if (Candidates.empty())
    return std::nullopt;
  const framework::TargetId Chosen =
      Candidates[Core_.Rng_.index(Candidates.size())];
  Core_.Connections_.setLimit(Chosen, MaxConnectionsPerPeer);
  return Chosen;
}

bool CallForwarder::isAvoided(framework::TargetId Peer,
                              framework::Instant Now) const {
  const auto Found = AvoidedUntil_.find(Peer);
  return Found != AvoidedUntil_.end() && Now < Found->second;
}

void CallForwarder::handleNotRun(const EventContext &Context,
                                 const calls::Attempt &Ended) {
  AvoidedUntil_[Ended.Target_] = Context.now() + PeerAvoidTime;
  calls::Call *Call = Core_.Calls_.find(Ended.Call_);
  if (!Call)
    return;
  if (!tryForward(Context, *Call))
    Finisher_.fail(Context, *Call, calls::EndingReason::TargetsUnreachable);
}

bool CallForwarder::isKnown(const ForwardingInstance &From) const {
  return Core_.Fleet_.isRunningPeer(From.Name_, From.Incarnation_,
                                    From.Address_);
}

std::optional<calls::EndingReason>
CallForwarder::findFault(const ForwardingInstance &From) const {
  if (!isKnown(From))
    return calls::EndingReason::ForwarderUnknown;
  if (isCutOff())
    return calls::EndingReason::TargetsUnreachable;
  const auto CallsFromPeers = std::count_if(
      Core_.Calls_.calls().begin(), Core_.Calls_.calls().end(),
      [](const auto &Each) { return Each.second.Request_.IsFromPeer_; });
  if (CallsFromPeers >= MaxCallsFromPeers)
    return calls::EndingReason::Overloaded;
  return std::nullopt;
}

void CallForwarder::recordOpened(const EventContext &Context,
                                 framework::TargetId Target) {
  if (!isEnabled() || Core_.Environment_.isPeer(Target))
    return;
  const bool WasCutOff = isCutOff();
  Monitor_.recordOpened();
  Monitor_.recordHeard(Context.now());
  reportCutOff(Context, WasCutOff);
}

void CallForwarder::recordOpenFailed(const EventContext &Context,
                                     framework::TargetId Target) {
  if (!isEnabled() || Core_.Environment_.isPeer(Target))
    return;
  const bool WasCutOff = isCutOff();
  Monitor_.recordOpenFailed(Target, Core_.Environment_.targets().size(),
                            Context.now());
  HasJustBeenCutOff_ = HasJustBeenCutOff_ || (isCutOff() && !WasCutOff);
  reportCutOff(Context, WasCutOff);
}

void CallForwarder::reportCutOff(const EventContext &Context,
                                 bool WasCutOff) const {
  if (isCutOff() == WasCutOff)
    return;
  Context.Output_.push_back(ReportChange{isCutOff()
                                             ? ChangeKind::TargetsUnreachable
                                             : ChangeKind::TargetsReachable,
                                         Core_.Settings_.Self_.value()});
}

void CallForwarder::runDue(const EventContext &Context) {
  if (!isEnabled())
    return;
  openTrials(Context, Monitor_.takeDueTrials(oldestSentAt(), Context.now()));
  if (std::exchange(HasJustBeenCutOff_, false))
    forwardWaitingCalls(Context);
}

void CallForwarder::forwardWaitingCalls(const EventContext &Context) {
  std::vector<framework::CallId> Waiting;
  for (const auto &[Id, Call] : Core_.Calls_.calls())
    if (Call.SentAttempts_ == 0 && !Call.IsForwarded_ &&
        Call.State_ != calls::CallState::AwaitingKey &&
        Call.State_ != calls::CallState::AwaitingQuota &&
        Call.State_ != calls::CallState::FetchingAnswer)
      Waiting.push_back(Id);
  for (const framework::CallId Id : Waiting) {
    calls::Call *Call = Core_.Calls_.find(Id);
    if (!Call || Call->Request_.IsFromPeer_)
      continue;
    const auto Live = Call->LiveAttempts_;
    for (const framework::AttemptId Attempt : Live)
      Attempts_.cancel(Context, Attempt, routing::AttemptResult::Cancelled);
    if (!tryForward(Context, *Call) && !Live.empty())
      Finisher_.fail(Context, *Call, calls::EndingReason::ConnectFailed);
  }
}

framework::Instant CallForwarder::oldestSentAt() const {
  framework::Instant Oldest = framework::Instant::max();
  for (const auto &[Id, Live] : Core_.Calls_.attempts())
    if (Live.State_ == calls::AttemptState::Sent &&
        Live.Kind_ != calls::AttemptKind::Forward)
      Oldest = std::min(Oldest, Live.SentAt_);
  return Oldest;
}

void CallForwarder::openTrials(const EventContext &Context, std::size_t Count) {
  std::vector<framework::TargetId> Candidates;
  if (Count > 0)
    for (const routing::TargetDescription &Each : Core_.Environment_.targets())
      if (!Each.IsLeaving_ && !Core_.Targets_.isAvoided(Each.Target_) &&
          !Core_.Connections_.isOpening(Each.Target_))
        Candidates.push_back(Each.Target_);
  for (; Count > 0 && !Candidates.empty(); --Count) {
    const std::size_t Chosen = Core_.Rng_.index(Candidates.size());
    ConnectionManager_.openNew(Context, Candidates[Chosen]);
    Candidates.erase(Candidates.begin() + static_cast<std::ptrdiff_t>(Chosen));
  }
}

} // namespace cranberryspool::decision
