#include "decision/experiment/corefleet.h"

#include <utility>

namespace cranberryspool::experiment {

namespace {

using framework::Duration;
using framework::Instant;

constexpr Duration PlatformDelay = std::chrono::milliseconds(2);
const framework::Revision DocumentRevision(1);
constexpr std::uint64_t FirstCall = 1;

bool isNewer(const std::optional<framework::Revision> &NewerThan,
             framework::Revision Current) {
  return !NewerThan || *NewerThan < Current;
}

} // namespace

void CoreFleet::perform(std::uint32_t Index,
                        const decision::OpenConnection &Action) {
  const std::uint32_t Target = findTarget(Action.Address_);
  Connections_[{Index, Action.Connection_}] = Target;
  const Duration Setup =
      2 * delayToTarget(Index, Target) + Settings_.ConnectTime_;
  schedule(Now_ + Setup, [this, Index, Action, Setup] {
    if (Connections_.contains({Index, Action.Connection_}))
      deliver(Index, decision::ConnectionOpened{Action.Connection_, Setup});
  });
}

void CoreFleet::perform(std::uint32_t Index,
                        const decision::CloseConnection &Action) {
  Connections_.erase({Index, Action.Connection_});
  const auto Found = JobsByConnection_.find({Index, Action.Connection_});
  if (Found == JobsByConnection_.end())
    return;
  const std::uint64_t Number = Found->second;
  JobsByConnection_.erase(Found);
  Jobs_[Number].IsCancelled_ = true;
  const std::uint32_t Target = Jobs_[Number].Target_;
  schedule(Now_ + delayToTarget(Index, Target), [this, Number, Target] {
    if (Targets_[Target].cancel(Number, Now_))
      scheduleCompletion(Target);
  });
}

void CoreFleet::perform(std::uint32_t Index,
                        const decision::SendAttempt &Action) {
  Job Sent;
  Sent.Instance_ = Index;
  Sent.Target_ = Connections_.at({Index, Action.Connection_});
  Sent.Attempt_ = Action.Attempt_;
  Sent.Connection_ = Action.Connection_;
  JobsByConnection_[{Index, Action.Connection_}] = Jobs_.size();
  const auto Call = Action.Call_.value() - FirstCall;
  send(Sent, Work_.Arrivals_[Call].Work_);
}

void CoreFleet::perform(std::uint32_t Index,
                        const decision::ProbeTarget &Action) {
  Job Sent;
  Sent.Instance_ = Index;
  Sent.Target_ = findTarget(Action.Address_);
  Sent.Probe_ = Action.Probe_;
  Sent.IsProbe_ = true;
  send(Sent, Settings_.ProbeWork_);
}

void CoreFleet::perform(std::uint32_t, const decision::AnswerCall &Action) {
  const auto &Arrival = Work_.Arrivals_[Action.Call_.value() - FirstCall];
  if (Arrival.At_ < startOfRun() + Settings_.Warmup_)
    return;
  CallResults &Output =
      Results_[resultIndex(Arrival.Service_, Arrival.Urgency_)];
  Output.Latencies_.push_back(Now_ - Arrival.At_);
  Output.AnsweredAt_.push_back(Now_);
}

void CoreFleet::perform(std::uint32_t, const decision::RefuseCall &Action) {
  const auto &Arrival = Work_.Arrivals_[Action.Call_.value() - FirstCall];
  if (Arrival.At_ < startOfRun() + Settings_.Warmup_)
    return;
  CallResults &Output =
      Results_[resultIndex(Arrival.Service_, Arrival.Urgency_)];
  const bool IsUnknown = Action.Ending_ == calls::Ending::Unknown;
  ++(IsUnknown ? Output.Late_ : Output.NotRun_);
}

void CoreFleet::perform(std::uint32_t Index,
                        const decision::ReadDocument &Action) {
  const bool IsNewer = isNewer(Action.NewerThan_, DocumentRevision);
  schedule(Now_ + PlatformDelay + (IsNewer ? Duration::zero() : Action.Wait_),
           [this, Index, IsNewer] {
             if (IsNewer)
               deliver(Index, decision::DocumentPublished{DocumentRevision,
                                                          Settings_.Document_});
             else
               deliver(Index, decision::DocumentUnchanged{});
           });
}

void CoreFleet::perform(std::uint32_t Index,
                        const decision::ReadInstances &Action) {
  const bool IsNewer = isNewer(Action.NewerThan_, Published_.Revision_);
  schedule(Now_ + PlatformDelay + (IsNewer ? Duration::zero() : Action.Wait_),
           [this, Index, IsNewer] {
             if (IsNewer)
               deliver(Index, Published_);
             else
               deliver(Index, decision::InstancesUnchanged{});
           });
}

void CoreFleet::perform(std::uint32_t Index,
                        const decision::SendPeerMessage &Action) {
  const auto To = InstancesByAddress_.find(Action.PeerAddress_);
  if (To == InstancesByAddress_.end())
    return;
  const std::uint32_t Peer = To->second;
  schedule(Now_ + delayBetweenInstances(Index, Peer),
           [this, Peer, Message = Action.Message_] {
             deliver(Peer, decision::PeerMessageReceived{Message});
           });
}

void CoreFleet::perform(std::uint32_t Index,
                        const decision::FetchSections &Action) {
  const auto To = InstancesByAddress_.find(Action.PeerAddress_);
  if (To == InstancesByAddress_.end())
    return;
  const std::uint32_t Peer = To->second;
  const std::uint64_t Request = ++LastSectionRequestId_;
  SectionRequesters_.emplace(Request, Index);
  schedule(Now_ + delayBetweenInstances(Index, Peer),
           [this, Peer, Request, Wanted = Action.Request_] {
             deliver(Peer, decision::SectionsRequested{Request, Wanted});
           });
}

void CoreFleet::perform(std::uint32_t Index,
                        const decision::ServeSections &Action) {
  const std::uint32_t Requester = SectionRequesters_.at(Action.Request_);
  schedule(Now_ + delayBetweenInstances(Index, Requester),
           [this, Requester, From = Instances_[Index].Address_,
            Reply = Action.Reply_] {
             deliver(Requester, decision::SectionsFetched{From, Reply});
           });
}

void CoreFleet::send(const Job &Sent, Duration Work) {
  const std::uint64_t Number = Jobs_.size();
  Jobs_.push_back(Sent);
  schedule(Now_ + delayToTarget(Sent.Instance_, Sent.Target_),
           [this, Number, Work] { arriveAtTarget(Number, Work); });
}

void CoreFleet::arriveAtTarget(std::uint64_t Number, Duration Work) {
  const Job &Sent = Jobs_[Number];
  if (!Targets_[Sent.Target_].accept(Number, Work, Now_))
    return answer(Number, true);
  scheduleCompletion(Sent.Target_);
}

void CoreFleet::scheduleCompletion(std::uint32_t Target) {
  const std::uint64_t Generation = ++Generations_[Target];
  if (const auto Next = Targets_[Target].nextCompletion())
    schedule(Next->At_,
             [this, Target, Generation] { complete(Target, Generation); });
}

void CoreFleet::complete(std::uint32_t Target, std::uint64_t Generation) {
  if (Generation != Generations_[Target])
    return;
  const std::uint64_t Number = Targets_[Target].nextCompletion()->Job_;
  Targets_[Target].complete(Number, Now_);
  scheduleCompletion(Target);
  answer(Number, false);
}

void CoreFleet::answer(std::uint64_t Number, bool IsNotRun) {
  const Job &Sent = Jobs_[Number];
  const auto Report = Targets_[Sent.Target_].report(Now_);
  schedule(Now_ + delayToTarget(Sent.Instance_, Sent.Target_), [=, this] {
    constexpr std::uint32_t Ok = 200;
    constexpr std::uint32_t Unavailable = 503;
    const Job &Done = Jobs_[Number];
    const framework::Incarnation Start(Done.Target_ + 1);
    if (Done.IsProbe_)
      return deliver(Done.Instance_,
                     decision::ProbeAnswered{Done.Probe_, Report, Start, {}});
    if (Done.IsCancelled_)
      return;
    JobsByConnection_.erase({Done.Instance_, Done.Connection_});
    deliver(Done.Instance_,
            decision::AttemptAnswered{
                Done.Attempt_, Done.Connection_, Done.Attempt_,
                IsNotRun ? Unavailable : Ok, IsNotRun, Report, Start, true});
  });
}

Duration CoreFleet::delayToTarget(std::uint32_t Index,
                                  std::uint32_t Target) const {
  return Instances_[Index].Zone_ == TargetZones_[Target]
             ? Fleet_.DelayInZone_
             : Fleet_.DelayBetweenZones_;
}

Duration CoreFleet::delayBetweenInstances(std::uint32_t From,
                                          std::uint32_t To) const {
  return Instances_[From].Zone_ == Instances_[To].Zone_
             ? Fleet_.DelayInZone_
             : Fleet_.DelayBetweenZones_;
}

std::uint32_t CoreFleet::findTarget(const std::string &Address) const {
  return TargetsByAddress_.at(Address);
}

} // namespace cranberryspool::experiment
