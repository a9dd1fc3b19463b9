// The admission of other instances to the membership.

#include "fleet/internal/seeded/peerevidence.h"
#include "fleet/internal/seeded/seededfleet.h"

#include <utility>

namespace cranberryspool::fleet {

namespace {

using framework::Duration;
using framework::Instant;

/// Provisional members that have shown no evidence for this long are removed.
constexpr Duration ConfirmationTime = std::chrono::seconds(2);
/// Candidates that are asked in a tick. Members that are admitted list others,
/// so that a few requests are enough.
constexpr std::size_t RequestsPerTick = 1;
constexpr std::size_t RequestsPerTickAtFirst = 4;
constexpr std::size_t EnoughListingMembers = 4;

} // namespace

bool SeededFleet::isTrusted(const framework::InstanceName &Name,
                            framework::Incarnation Incarnation) const {
  const Membership::MemberState *Member = Membership_.find(Name, Incarnation);
  if (!Member)
    return false;
  return Member->IsAdmitted_ || (view().isLoaded() && !isAdmissionRequired());
}

bool SeededFleet::checkSender(const framework::InstanceName &Name,
                              framework::Incarnation Incarnation,
                              const char *Kind, Instant Now,
                              OutputList &Output) {
  if (isTrusted(Name, Incarnation))
    return true;
  // Which instance reads the store first depends on who is active.
  if (!view().isLoaded() && Membership_.find(Name, Incarnation))
    Group_.recordActivity(Name, Now);
  else
    Output.push_back(PeerMessageRejected{
        Name.value(), std::string(Kind) +
                          " of an instance that is not known to belong to the "
                          "fleet"});
  return false;
}

void SeededFleet::handleGossipOfCandidate(const GossipMessage &Message,
                                          Transport Via, Instant Now,
                                          OutputList &Output) {
  const MemberInfo &Sender = Message.Members_.front();
  if (Membership_.find(Sender.Name_, Sender.Incarnation_)) {
    GossipMessage OwnEntry = Message;
    OwnEntry.Members_.resize(1);
    Membership_.merge(OwnEntry, Now);
  }
  const bool IsNew = Admission_.recordHeard(Sender, Via, Now);
  // The reply of an instance that has admitted this one comes with evidence.
  if (Message.IsReplyRequested_ || IsNew)
    sendIntroduction(Sender.Address_, IsNew, Via, Now, Output);
}

void SeededFleet::sendIntroduction(const std::string &Address,
                                   bool IsReplyRequested, Transport Via,
                                   Instant Now, OutputList &Output) {
  // The receiver takes the listed members from an admitted instance only.
  sendEvidence(Address, PeerEvidence(view()).makeSample(), Via, Output);
  sendGossip(Address, IsReplyRequested, Via, Now, Output);
}

bool SeededFleet::admitByEarlierEvidence(const MemberInfo &Sender, Instant Now,
                                         OutputList &Output) {
  const auto Evidence =
      Admission_.takeEvidence(Sender.Name_, Sender.Incarnation_);
  if (!Evidence)
    return false;
  Membership_.admit(Sender, Now);
  reportAdmitted(Sender.Name_, *Evidence, Output);
  return true;
}

bool SeededFleet::admitByEvidence(const RecordUpdate &Message, Instant Now,
                                  OutputList &Output) {
  if (Membership_.isAdmitted(Message.From_, Message.Incarnation_))
    return true;
  const std::string *Evidence = PeerEvidence(view()).find(Message.Records_);
  if (!Evidence)
    Replicator_.compareWithStranger(Message, Now);
  if (!Evidence || Membership_.isSucceeded(Message.From_, Message.Incarnation_))
    return false;
  const auto *Candidate = Admission_.find(Message.From_, Message.Incarnation_);
  if (!Candidate) {
    Admission_.recordEvidence(Message.From_, Message.Incarnation_, *Evidence,
                              Now);
    return false;
  }
  const MemberInfo Info = Candidate->Info_;
  const bool IsJoining = !Membership_.find(Info.Name_, Info.Incarnation_);
  Membership_.admit(Info, Now);
  reportAdmitted(Info.Name_, *Evidence, Output);
  if (IsJoining)
    Output.push_back(PeerReachabilityChanged{Info.Name_, true});
  return true;
}

void SeededFleet::reportAdmitted(const framework::InstanceName &Name,
                                 std::string Source, OutputList &Output) {
  const framework::Incarnation Incarnation =
      Membership_.members().at(Name).Info_.Incarnation_;
  Admission_.forget(Name, Incarnation);
  Output.push_back(PeerAdmitted{Name, Incarnation, std::move(Source)});
}

void SeededFleet::confirmMembers(Instant Now, OutputList &Output) {
  if (!isAdmissionRequired()) {
    AdmissionRequiredSince_.reset();
    return;
  }
  if (!AdmissionRequiredSince_) {
    AdmissionRequiredSince_ = Now;
    for (const auto &[Name, State] : Membership_.members())
      if (!State.IsAdmitted_)
        Admission_.add(State.Info_, Now);
  }
  if (Now >= *AdmissionRequiredSince_ + ConfirmationTime)
    removeUnconfirmed(Output);
  const bool IsListed = Membership_.admittedCount() >= EnoughListingMembers;
  for (const PeerAdmission::Candidate &Each : Admission_.takeDue(
           IsListed ? RequestsPerTick : RequestsPerTickAtFirst, Now))
    requestEvidence(Each, Now, Output);
}

void SeededFleet::introduceToGroup(Instant Now, OutputList &Output) {
  std::erase_if(IntroducedTo_, [this](const auto &Each) {
    return !Group_.isInGroup(Each.first);
  });
  if (!isAdmissionRequired() || !isDiscoveryComplete(Now))
    return;
  for (const auto &[Name, Address] : Group_.addresses()) {
    const auto Member = Membership_.members().find(Name);
    if (Member == Membership_.members().end())
      continue;
    const framework::Incarnation Incarnation =
        Member->second.Info_.Incarnation_;
    if (std::exchange(IntroducedTo_[Name], Incarnation) != Incarnation)
      sendGossip(Address, false, Transport::Datagram, Now, Output);
  }
}

void SeededFleet::withdrawAdmissions() {
  if (AdmittedSince_ == Replicator_.replacements())
    return;
  AdmittedSince_ = Replicator_.replacements();
  Membership_.withdrawAdmissions();
  AdmissionRequiredSince_.reset();
  IntroducedTo_.clear();
}

void SeededFleet::removeUnconfirmed(OutputList &Output) {
  std::vector<MemberInfo> Unconfirmed;
  for (const auto &[Name, State] : Membership_.members())
    if (!State.IsAdmitted_)
      Unconfirmed.push_back(State.Info_);
  for (const MemberInfo &Each : Unconfirmed) {
    Membership_.remove(Each.Name_);
    Output.push_back(PeerNotConfirmed{Each.Name_, Each.Incarnation_});
    Output.push_back(PeerReachabilityChanged{Each.Name_, false});
  }
}

void SeededFleet::requestEvidence(const PeerAdmission::Candidate &Candidate,
                                  Instant Now, OutputList &Output) {
  const MemberInfo &Self = Membership_.self();
  const std::string &Address = Candidate.Info_.Address_;
  if (Candidate.Requests_ == 0) {
    sendIntroduction(Address, true, Candidate.Via_, Now, Output);
    return;
  }
  // Earlier builds answer members only.
  GossipMessage Introduction;
  Introduction.Members_ = {Self};
  Introduction.IsStopping_ = IsStopping_;
  sendEvidence(Address, PeerEvidence(view()).makeSample(), Candidate.Via_,
               Output);
  Output.push_back(
      SendMessage{Address, std::move(Introduction), Candidate.Via_});
  RecordRequest Request;
  Request.From_ = Self.Name_;
  Request.Incarnation_ = Self.Incarnation_;
  Request.After_ = PeerEvidence(view()).chooseStart(Candidate.Requests_ - 1);
  Request.Age_ = RecordUpdate::MoreFollows;
  Request.MissingParts_ = {0};
  Output.push_back(SendMessage{Address, std::move(Request), Candidate.Via_});
}

void SeededFleet::sendEvidence(const std::string &Address,
                               std::vector<ReplicatedRecord> Records,
                               Transport Via, OutputList &Output) const {
  if (Records.empty())
    return;
  RecordUpdate Update;
  Update.From_ = Membership_.self().Name_;
  Update.Incarnation_ = Membership_.self().Incarnation_;
  Update.Age_ = RecordUpdate::MoreFollows;
  Update.Records_ = std::move(Records);
  Output.push_back(SendMessage{Address, std::move(Update), Via});
}

void SeededFleet::answerUntrusted(const RecordRequest &Message, Transport Via,
                                  Instant Now, OutputList &Output) {
  const auto *Member = Membership_.find(Message.From_, Message.Incarnation_);
  const auto *Candidate = Admission_.find(Message.From_, Message.Incarnation_);
  if (!Member && !Candidate) {
    checkSender(Message.From_, Message.Incarnation_, "record request", Now,
                Output);
    return;
  }
  sendEvidence(Member ? Member->Info_.Address_ : Candidate->Info_.Address_,
               PeerEvidence(view()).makeAnswer(Message.After_), Via, Output);
}

} // namespace cranberryspool::fleet
