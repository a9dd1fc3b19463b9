#include "decision/experiment/corefleet.h"

#include <utility>

namespace cranberryspool::experiment {

namespace {

using framework::Duration;
using framework::Instant;

constexpr Duration PlatformDelay = std::chrono::milliseconds(2);
const framework::Revision DocumentRevision(1);
constexpr std::uint64_t FirstCall = 1;

bool isNews(const std::optional<framework::Revision> &NewerThan,
            framework::Revision Current) {
  return !NewerThan || *NewerThan < Current;
}

} // namespace

void CoreFleet::carryOut(std::uint32_t Index,
                         const decision::OpenConnection &Asked) {
  const std::uint32_t Target = targetAt(Asked.Address_);
  Connections_[{Index, Asked.Connection_}] = Target;
  const Duration Setup = 2 * delay(Index, Target) + Settings_.ConnectTime_;
  plan(Now_ + Setup, [this, Index, Asked, Setup] {
    if (Connections_.contains({Index, Asked.Connection_}))
      tell(Index, decision::ConnectionOpened{Asked.Connection_, Setup});
  });
}

void CoreFleet::carryOut(std::uint32_t Index,
                         const decision::CloseConnection &Asked) {
  Connections_.erase({Index, Asked.Connection_});
  const auto Found = OnConnection_.find({Index, Asked.Connection_});
  if (Found == OnConnection_.end())
    return;
  const std::uint64_t Number = Found->second;
  OnConnection_.erase(Found);
  Jobs_[Number].IsCancelled_ = true;
  const std::uint32_t Target = Jobs_[Number].Target_;
  plan(Now_ + delay(Index, Target), [this, Number, Target] {
    if (Targets_[Target].cancel(Number, Now_))
      planCompletion(Target);
  });
}

void CoreFleet::carryOut(std::uint32_t Index,
                         const decision::SendAttempt &Asked) {
  Job Sent;
  Sent.Instance_ = Index;
  Sent.Target_ = Connections_.at({Index, Asked.Connection_});
  Sent.Attempt_ = Asked.Attempt_;
  Sent.Connection_ = Asked.Connection_;
  OnConnection_[{Index, Asked.Connection_}] = Jobs_.size();
  const auto Call = Asked.Call_.value() - FirstCall;
  send(Sent, Work_.Arrivals_[Call].Work_);
}

void CoreFleet::carryOut(std::uint32_t Index,
                         const decision::ProbeTarget &Asked) {
  Job Sent;
  Sent.Instance_ = Index;
  Sent.Target_ = targetAt(Asked.Address_);
  Sent.Probe_ = Asked.Probe_;
  Sent.IsProbe_ = true;
  send(Sent, Settings_.ProbeWork_);
}

void CoreFleet::carryOut(std::uint32_t, const decision::AnswerCall &Asked) {
  const auto &Arrival = Work_.Arrivals_[Asked.Call_.value() - FirstCall];
  if (Arrival.At_ < startOfRun() + Settings_.Warmup_)
    return;
  CallResults &Output = Results_[slot(Arrival.Service_, Arrival.Urgency_)];
  Output.Latencies_.push_back(Now_ - Arrival.At_);
  Output.AnsweredAt_.push_back(Now_);
}

void CoreFleet::carryOut(std::uint32_t, const decision::RefuseCall &Asked) {
  const auto &Arrival = Work_.Arrivals_[Asked.Call_.value() - FirstCall];
  if (Arrival.At_ < startOfRun() + Settings_.Warmup_)
    return;
  CallResults &Output = Results_[slot(Arrival.Service_, Arrival.Urgency_)];
  const bool IsUnknown = Asked.Ending_ == calls::Ending::Unknown;
  ++(IsUnknown ? Output.Late_ : Output.NotRun_);
}

void CoreFleet::carryOut(std::uint32_t Index,
                         const decision::ReadDocument &Asked) {
  const bool IsNews = isNews(Asked.NewerThan_, DocumentRevision);
  plan(Now_ + PlatformDelay + (IsNews ? Duration::zero() : Asked.Wait_),
       [this, Index, IsNews] {
         if (IsNews)
           tell(Index, decision::DocumentPublished{DocumentRevision,
                                                   Settings_.Document_});
         else
           tell(Index, decision::DocumentUnchanged{});
       });
}

void CoreFleet::carryOut(std::uint32_t Index,
                         const decision::ReadInstances &Asked) {
  const bool IsNews = isNews(Asked.NewerThan_, Published_.Revision_);
  plan(Now_ + PlatformDelay + (IsNews ? Duration::zero() : Asked.Wait_),
       [this, Index, IsNews] {
         if (IsNews)
           tell(Index, Published_);
         else
           tell(Index, decision::InstancesUnchanged{});
       });
}

void CoreFleet::carryOut(std::uint32_t Index,
                         const decision::SendPeerMessage &Asked) {
  const auto To = InstancesByAddress_.find(Asked.PeerAddress_);
  if (To == InstancesByAddress_.end())
    return;
  const std::uint32_t Peer = To->second;
  plan(Now_ + peerDelay(Index, Peer), [this, Peer, Message = Asked.Message_] {
    tell(Peer, decision::PeerMessageReceived{Message});
  });
}

void CoreFleet::carryOut(std::uint32_t Index,
                         const decision::FetchSections &Asked) {
  const auto To = InstancesByAddress_.find(Asked.PeerAddress_);
  if (To == InstancesByAddress_.end())
    return;
  const std::uint32_t Peer = To->second;
  const std::uint64_t Request = ++LastSectionRequest_;
  SectionAskers_.emplace(Request, Index);
  plan(Now_ + peerDelay(Index, Peer),
       [this, Peer, Request, Wanted = Asked.Request_] {
         tell(Peer, decision::SectionsRequested{Request, Wanted});
       });
}

void CoreFleet::carryOut(std::uint32_t Index,
                         const decision::ServeSections &Asked) {
  const std::uint32_t Asker = SectionAskers_.at(Asked.Request_);
  plan(Now_ + peerDelay(Index, Asker),
       [this, Asker, From = Instances_[Index].Address_, Reply = Asked.Reply_] {
         tell(Asker, decision::SectionsFetched{From, Reply});
       });
}

void CoreFleet::send(const Job &Sent, Duration Work) {
  const std::uint64_t Number = Jobs_.size();
  Jobs_.push_back(Sent);
  plan(Now_ + delay(Sent.Instance_, Sent.Target_),
       [this, Number, Work] { reachTarget(Number, Work); });
}

void CoreFleet::reachTarget(std::uint64_t Number, Duration Work) {
  const Job &Sent = Jobs_[Number];
  if (!Targets_[Sent.Target_].accept(Number, Work, Now_))
    return answer(Number, true);
  planCompletion(Sent.Target_);
}

void CoreFleet::planCompletion(std::uint32_t Target) {
  const std::uint64_t Generation = ++Generations_[Target];
  if (const auto Next = Targets_[Target].nextCompletion())
    plan(Next->At_,
         [this, Target, Generation] { complete(Target, Generation); });
}

void CoreFleet::complete(std::uint32_t Target, std::uint64_t Generation) {
  if (Generation != Generations_[Target])
    return;
  const std::uint64_t Number = Targets_[Target].nextCompletion()->Job_;
  Targets_[Target].complete(Number, Now_);
  planCompletion(Target);
  answer(Number, false);
}

void CoreFleet::answer(std::uint64_t Number, bool IsNotRun) {
  const Job &Sent = Jobs_[Number];
  const auto Report = Targets_[Sent.Target_].report(Now_);
  plan(Now_ + delay(Sent.Instance_, Sent.Target_), [=, this] {
    constexpr std::uint32_t Ok = 200;
    constexpr std::uint32_t Unavailable = 503;
    const Job &Done = Jobs_[Number];
    const framework::Incarnation Start(Done.Target_ + 1);
    if (Done.IsProbe_)
      return tell(Done.Instance_,
                  decision::ProbeAnswered{Done.Probe_, Report, Start, {}});
    if (Done.IsCancelled_)
      return;
    OnConnection_.erase({Done.Instance_, Done.Connection_});
    tell(Done.Instance_,
         decision::AttemptAnswered{Done.Attempt_, Done.Connection_,
                                   Done.Attempt_, IsNotRun ? Unavailable : Ok,
                                   IsNotRun, Report, Start, true});
  });
}

Duration CoreFleet::delay(std::uint32_t Index, std::uint32_t Target) const {
  return Instances_[Index].Zone_ == TargetZones_[Target]
             ? Fleet_.DelayInZone_
             : Fleet_.DelayBetweenZones_;
}

Duration CoreFleet::peerDelay(std::uint32_t From, std::uint32_t To) const {
  return Instances_[From].Zone_ == Instances_[To].Zone_
             ? Fleet_.DelayInZone_
             : Fleet_.DelayBetweenZones_;
}

std::uint32_t CoreFleet::targetAt(const std::string &Address) const {
  return TargetsByAddress_.at(Address);
}

} // namespace cranberryspool::experiment
