#include "fleet/internal/keyadmission.h"
#include "fleet/internal/keytiming.h"
#include "fleet/internal/parsedkey.h"

#include <algorithm>

namespace cranberryspool::fleet {

namespace {

bool isSameCall(const KeyRecord &Record, const framework::InstanceName &From,
                framework::Incarnation Incarnation, framework::CallId Call) {
  return Record.Runner_ == From && Record.RunnerIncarnation_ == Incarnation &&
         Record.RunnerCall_ == Call;
}

void setRunner(KeyRecord &Record, const KeyRequest &Request) {
  Record.Runner_ = Request.From_;
  Record.RunnerIncarnation_ = Request.Incarnation_;
  Record.RunnerAddress_ = Request.Address_;
  Record.RunnerCall_ = Request.Call_;
  Record.Outcome_ = KeyOutcome::Running;
}

KeyReply makeReply(const KeyRequest &Request, KeyDecision Decision) {
  KeyReply Reply;
  Reply.EchoIncarnation_ = Request.Incarnation_;
  Reply.Call_ = Request.Call_;
  Reply.Decision_ = Decision;
  return Reply;
}

} // namespace

KeyAdmission::KeyAdmission(const FleetSettings &Settings)
    : Ownership_(Settings.Self_),
      Handovers_(Settings.Self_, Settings.Incarnation_, Settings.Address_) {}

void KeyAdmission::update(const InstanceStore &List, const PeerTable &Peers,
                          framework::Moment Now, OutputList &Output) {
  if (!List.hasValue())
    return;
  LatestWallTime_ = std::max(LatestWallTime_, Now.Wall_);
  Table_.removeExpired(LatestWallTime_);
  if (List.membersDigest() != MembersDigest_) {
    const auto KnownSince = Ownership_.latestKnownSince(Now);
    Handovers_.begin(Members_, List, Table_, KnownSince, Now.Monotonic_);
    MembersDigest_ = List.membersDigest();
    Members_ = List.members();
  }
  Ownership_.update(List, Peers, Now.Monotonic_);
  Handovers_.tick(Peers, Now.Monotonic_, Output);
}

KeyReply KeyAdmission::replyFor(const KeyRecord &Record,
                                const KeyRequest &Request,
                                const PeerTable &Peers) const {
  const bool HasRunnerRestarted =
      Peers.newestIncarnation(Record.Runner_) > Record.RunnerIncarnation_;
  if (Record.Outcome_ == KeyOutcome::ResponseUnavailable || HasRunnerRestarted)
    return makeReply(Request, KeyDecision::ResponseUnavailable);
  if (Record.Outcome_ != KeyOutcome::ResponseStored)
    return makeReply(Request, KeyDecision::InProgress);
  KeyReply Reply = makeReply(Request, KeyDecision::Replay);
  Reply.Runner_ = Record.Runner_;
  Reply.RunnerIncarnation_ = Record.RunnerIncarnation_;
  Reply.RunnerAddress_ = Record.RunnerAddress_;
  Reply.RunnerCall_ = Record.RunnerCall_;
  return Reply;
}

std::optional<KeyReply> KeyAdmission::decide(const KeyRequest &Request,
                                             const PeerTable &Peers,
                                             framework::Moment Now) {
  const auto Key = parseKey(Request.Key_);
  LatestWallTime_ = std::max(LatestWallTime_, Now.Wall_);
  if (!Key || Key->Time_ > LatestWallTime_ + KeyClockSkew)
    return makeReply(Request, KeyDecision::Invalid);
  if (LatestWallTime_ - Key->Time_ > KeyLifetime)
    return makeReply(Request, KeyDecision::TooOld);
  const auto KnownSince = Ownership_.knownSince(Key->Key_, Now);
  if (!KnownSince && Ownership_.isTakingOver(Key->Key_, Now.Monotonic_))
    return std::nullopt;
  if (!KnownSince)
    return makeReply(Request, KeyDecision::OwnerUnreachable);
  if (KeyRecord *Record = Table_.find(Key->Key_)) {
    const bool IsRequestingCall =
        isSameCall(*Record, Request.From_, Request.Incarnation_, Request.Call_);
    if (IsRequestingCall && Record->Outcome_ == KeyOutcome::Running)
      return makeReply(Request, KeyDecision::Run);
    if (IsRequestingCall || Record->Outcome_ != KeyOutcome::NotRun)
      return replyFor(*Record, Request, Peers);
    setRunner(*Record, Request);
    return makeReply(Request, KeyDecision::Run);
  }
  if (Key->Time_ <= *KnownSince)
    return makeReply(Request, KeyDecision::TooOld);
  KeyRecord NewRecord;
  NewRecord.Key_ = Key->Key_;
  setRunner(NewRecord, Request);
  if (!Table_.add(NewRecord, Key->Time_))
    return makeReply(Request, KeyDecision::OwnerUnreachable);
  return makeReply(Request, KeyDecision::Run);
}

void KeyAdmission::handleCallEnd(const KeyEnded &Message, framework::Moment) {
  const auto Key = parseKey(Message.Key_);
  if (!Key)
    return;
  if (KeyRecord *Record = Table_.find(Key->Key_)) {
    if (isSameCall(*Record, Message.From_, Message.Incarnation_, Message.Call_))
      Record->Outcome_ = Message.Outcome_;
    return;
  }
  if (Message.Outcome_ == KeyOutcome::NotRun)
    return;
  Table_.add(KeyRecord{Key->Key_, Message.From_, Message.Incarnation_,
                       Message.Address_, Message.Call_, Message.Outcome_},
             Key->Time_);
}

} // namespace cranberryspool::fleet
