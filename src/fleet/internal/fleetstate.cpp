#include "fleet/internal/fleetstate.h"
#include "fleet/internal/freshness.h"
#include "fleet/internal/rendezvous.h"
#include "fleet/internal/timing.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// How long a starting instance waits for unresponsive peers before it trusts
/// the platform's document.
constexpr framework::Duration PeerQueryTimeout = std::chrono::seconds(2);

/// How long a starting instance waits for a newer document that is known to
/// exist, before it uses the platform's document.
constexpr framework::Duration NewerDocumentTimeout = std::chrono::seconds(10);

/// How long an instance keeps reading the platform after it got a more recent
/// confirmation from the platform than from its peers.
constexpr framework::Duration TemporaryReaderTime = std::chrono::seconds(10);

bool isOverdue(const Confirmation &Confirmed, framework::Instant Now) {
  const auto Age = Confirmed.age(Now);
  return !Age || *Age > ConfirmationOverdueAge;
}

} // namespace

FleetState::FleetState(FleetSettings Settings, framework::Random Rng)
    : Settings_(std::move(Settings)), Rng_(Rng),
      Peers_(Settings_.Self_, Settings_.Incarnation_), Shares_(Settings_.Self_),
      KeyAdmission_(Settings_), KeyRequester_(Settings_) {}

void FleetState::start(framework::Moment Now, OutputList &Output) {
  tick(Now, Output);
}

void FleetState::tick(framework::Moment Now, OutputList &Output) {
  const framework::Instant At = Now.Monotonic_;
  LastTickAt_ = At;
  readPlatform(At, Output);
  if (At >= NextRoundAt_)
    sendHeartbeatRound(At, Output);
  tryFinishStartup(At, Output);
  KeyRequester_.tick(Instances_, KeyAdmission_, Peers_, Now, Output);
  reevaluate(Now, Output);
}

framework::Instant FleetState::nextWakeUp() const {
  return std::min(
      {NextRoundAt_, LastTickAt_ + TickInterval, KeyRequester_.nextWakeUp()});
}

bool FleetState::shouldRead(const Confirmation &Confirmed,
                            framework::Instant ReadingUntil,
                            framework::Instant Now) const {
  if (isStarting() || !Confirmed.confirmedAt())
    return true;
  const std::size_t Position = Readers_.position(Settings_.Self_);
  const std::size_t ReaderCount = Readers_.readerCount();
  if (Position < ReaderCount || Now < ReadingUntil)
    return true;
  const std::size_t FallbackReaders = Readers_.names().size() - ReaderCount + 1;
  const auto FallbackIndex =
      static_cast<framework::Duration::rep>(Position - ReaderCount);
  const framework::Duration Threshold =
      ConfirmationOverdueAge +
      (AllInstancesReadAge - ConfirmationOverdueAge) * FallbackIndex /
          static_cast<framework::Duration::rep>(FallbackReaders);
  return *Confirmed.age(Now) > Threshold;
}

void FleetState::readPlatform(framework::Instant Now, OutputList &Output) {
  if (Peers_.isSuperseded())
    return;
  const std::size_t FleetSize = Instances_.members().size();
  std::optional<framework::Revision> KnownListRevision;
  if (Instances_.hasValue())
    KnownListRevision = Instances_.revision();
  ListReader_.tick(shouldRead(ListConfirmation_, ReadingUntil_, Now),
                   KnownListRevision, isOverdue(ListConfirmation_, Now),
                   FleetSize, Now, Output);
  std::optional<framework::Revision> KnownDocumentRevision;
  if (Documents_.hasValue())
    KnownDocumentRevision =
        std::max(Documents_.examinedRevision(), Documents_.revision());
  const bool HasPendingDocument = isStarting() && PendingDocument_;
  DocumentReader_.tick(!HasPendingDocument && shouldRead(DocumentConfirmation_,
                                                         ReadingUntil_, Now),
                       KnownDocumentRevision,
                       isOverdue(DocumentConfirmation_, Now), FleetSize, Now,
                       Output);
}

void FleetState::handleDocument(framework::Revision Revision,
                                const std::string &Text, framework::Moment Now,
                                OutputList &Output) {
  const auto RequestedAt = DocumentReader_.finishWithValue(Now.Monotonic_);
  if (!RequestedAt) {
    applyLateDocument(Revision, Text, Now, Output);
    return;
  }
  if (isStarting()) {
    PendingDocument_ = PendingDocument{Revision, Text, *RequestedAt};
    tryFinishStartup(Now.Monotonic_, Output);
    reevaluate(Now, Output);
    return;
  }
  const UpdateResult Result = Documents_.updateFromText(Revision, Text);
  if (Result == UpdateResult::Stale) {
    Output.push_back(StaleValueIgnored{SectionKind::Document, Revision});
  } else {
    const bool IsPreviousKept =
        Result == UpdateResult::Rejected && Documents_.hasValue();
    DocumentConfirmation_.recordConfirmed(IsPreviousKept ? Documents_.revision()
                                                         : Revision,
                                          *RequestedAt, Documents_.revision());
  }
  if (Result != UpdateResult::Accepted)
    DocumentReader_.delayNextRead(Now.Monotonic_);
  applyDocument(Result, Revision, Now.Monotonic_, Output);
  readPlatform(Now.Monotonic_, Output);
  reevaluate(Now, Output);
}

void FleetState::applyLateDocument(framework::Revision Revision,
                                   const std::string &Text,
                                   framework::Moment Now, OutputList &Output) {
  if (isStarting())
    return;
  const UpdateResult Result = Documents_.updateFromText(Revision, Text);
  applyDocument(Result, Revision, Now.Monotonic_, Output);
  reevaluate(Now, Output);
}

void FleetState::applyDocument(UpdateResult Result,
                               framework::Revision Revision,
                               framework::Instant Now, OutputList &Output) {
  if (Result == UpdateResult::Rejected)
    Output.push_back(DocumentRejected{Revision});
  if (Result != UpdateResult::Accepted)
    return;
  DocumentConfirmation_.handleAccepted(Revision);
  Shares_.rebuild(Instances_, Documents_.current(), Now);
  Output.push_back(DocumentApplied{Revision});
  pushUpdate(Now, Output);
}

void FleetState::handleInstances(
    framework::Revision Revision,
    const std::vector<document::PublishedInstance> &Instances,
    framework::Moment Now, OutputList &Output) {
  const auto RequestedAt = ListReader_.finishWithValue(Now.Monotonic_);
  if (!RequestedAt) {
    const UpdateResult LateResult =
        Instances_.updateFromList(Revision, Instances);
    applyInstances(LateResult, Revision, Now.Monotonic_, Output);
    reevaluate(Now, Output);
    return;
  }
  const UpdateResult Result = Instances_.updateFromList(Revision, Instances);
  if (Result == UpdateResult::Stale)
    Output.push_back(StaleValueIgnored{SectionKind::Instances, Revision});
  else
    ListConfirmation_.recordConfirmed(Revision, *RequestedAt,
                                      Instances_.revision());
  if (Result != UpdateResult::Accepted)
    ListReader_.delayNextRead(Now.Monotonic_);
  applyInstances(Result, Revision, Now.Monotonic_, Output);
  readPlatform(Now.Monotonic_, Output);
  reevaluate(Now, Output);
}

void FleetState::applyInstances(UpdateResult Result,
                                framework::Revision Revision,
                                framework::Instant Now, OutputList &Output) {
  if (Result != UpdateResult::Accepted)
    return;
  ListConfirmation_.handleAccepted(Revision);
  Readers_ = ReaderOrder(Instances_.members());
  Rotation_.clear();
  Shares_.rebuild(Instances_, Documents_.current(), Now);
  Output.push_back(InstancesChanged{});
  if (!PeerQueryStartedAt_) {
    PeerQueryStartedAt_ = Now;
    NextRoundAt_ = Now;
    sendHeartbeatRound(Now, Output);
    return;
  }
  pushUpdate(Now, Output);
}

void FleetState::handleUnchanged(SectionKind Kind, framework::Moment Now,
                                 OutputList &Output) {
  const bool IsDocument = Kind == SectionKind::Document;
  PlatformReader &Reader = IsDocument ? DocumentReader_ : ListReader_;
  Confirmation &Confirmed =
      IsDocument ? DocumentConfirmation_ : ListConfirmation_;
  const framework::Revision Accepted =
      IsDocument ? Documents_.revision() : Instances_.revision();
  const auto ConfirmedAt = Reader.finishUnchanged(Now.Monotonic_);
  if (!ConfirmedAt)
    return;
  const auto PreviouslyConfirmedAt = Confirmed.confirmedAt();
  if (!PreviouslyConfirmedAt ||
      *PreviouslyConfirmedAt + ConfirmationOverdueAge < Now.Monotonic_)
    ReadingUntil_ = Now.Monotonic_ + TemporaryReaderTime;
  Confirmed.recordConfirmed(Accepted, *ConfirmedAt, Accepted);
  readPlatform(Now.Monotonic_, Output);
  reevaluate(Now, Output);
}

void FleetState::handleReadFailure(SectionKind Kind, framework::Moment Now,
                                   OutputList &Output) {
  const bool IsDocument = Kind == SectionKind::Document;
  (IsDocument ? DocumentReader_ : ListReader_)
      .finishWithFailure(Now.Monotonic_);
  tryFinishStartup(Now.Monotonic_, Output);
  reevaluate(Now, Output);
}

void FleetState::handleSections(const std::string &PeerAddress,
                                const SectionReply &Reply,
                                framework::Moment Now, OutputList &Output) {
  const framework::Instant At = Now.Monotonic_;
  if (Reply.Kind_ == SectionKind::Document) {
    DocumentFetcher_.finishFetch(PeerAddress);
    const UpdateResult Result = Documents_.updateFromSections(Reply);
    applyDocument(Result, Reply.Revision_, At, Output);
  } else {
    ListFetcher_.finishFetch(PeerAddress);
    const UpdateResult Result = Instances_.updateFromSections(Reply);
    applyInstances(Result, Reply.Revision_, At, Output);
  }
  tryFinishStartup(At, Output);
  reevaluate(Now, Output);
}

void FleetState::handleSectionsUnavailable(const std::string &PeerAddress) {
  DocumentFetcher_.finishFetch(PeerAddress);
  ListFetcher_.finishFetch(PeerAddress);
}

bool FleetState::haveAllPeersAcked() const {
  for (const document::PublishedInstance &Member : Instances_.members()) {
    if (Member.IsLeaving_ || Member.Name_ == Settings_.Self_)
      continue;
    if (!Peers_.hasAckedSince(Member.Name_, *PeerQueryStartedAt_))
      return false;
  }
  return true;
}

void FleetState::tryFinishStartup(framework::Instant Now, OutputList &Output) {
  if (IsStarted_ || !PeerQueryStartedAt_)
    return;
  const framework::Duration Waited = Now - *PeerQueryStartedAt_;
  const bool IsNewerKnown =
      DocumentConfirmation_.newestKnownRevision() > Documents_.revision();
  if (IsNewerKnown && Waited < NewerDocumentTimeout)
    return;
  if (!haveAllPeersAcked() && Waited < PeerQueryTimeout)
    return;
  if (!PendingDocument_ && !Documents_.hasValue())
    return;
  IsStarted_ = true;
  if (!PendingDocument_)
    return;
  const PendingDocument Pending = std::move(*PendingDocument_);
  PendingDocument_.reset();
  const UpdateResult Result =
      Documents_.updateFromText(Pending.Revision_, Pending.Text_);
  if (Result == UpdateResult::Stale)
    Output.push_back(
        StaleValueIgnored{SectionKind::Document, Pending.Revision_});
  else
    DocumentConfirmation_.recordConfirmed(
        Pending.Revision_, Pending.RequestedAt_, Documents_.revision());
  applyDocument(Result, Pending.Revision_, Now, Output);
}

void FleetState::handle(const Heartbeat &Message, framework::Moment Now,
                        OutputList &Output) {
  if (Message.From_ != Settings_.Self_)
    Peers_.handleHeartbeat(Message);
  HeartbeatAck Ack;
  Ack.From_ = Settings_.Self_;
  Ack.Incarnation_ = Settings_.Incarnation_;
  Ack.Address_ = Settings_.Address_;
  Ack.EchoIncarnation_ = Message.Incarnation_;
  Ack.EchoSequence_ = Message.Sequence_;
  Ack.NewestIncarnation_ = Peers_.newestIncarnation(Message.From_);
  Ack.View_ = view(Now.Monotonic_);
  Ack.RestartNotices_ = RestartNotices_.recent(Now.Monotonic_);
  if (Message.IsWarmStateRequested_)
    Ack.WarmTargets_ = warmTargets();
  Output.push_back(SendMessage{
      Instances_.addressOf(Message.From_, Message.Address_), std::move(Ack)});
  if (Message.Incarnation_ < Peers_.newestIncarnation(Message.From_))
    return;
  applyRestartNotices(Message.RestartNotices_, Now.Monotonic_, Output);
  fetchNewerFrom(Instances_.addressOf(Message.From_, Message.Address_),
                 Message.View_, Now.Monotonic_, Output);
}

void FleetState::handle(const HeartbeatAck &Message, framework::Moment Now,
                        OutputList &Output) {
  const auto SentAt = Peers_.handleAck(Message);
  if (!SentAt)
    return;
  PeerRecord &Peer = Peers_.records()[Message.From_];
  if (!Peer.IsReachable_) {
    Peer.IsReachable_ = true;
    Output.push_back(PeerReachabilityChanged{Message.From_, true});
  }
  const PeerView &View = Message.View_;
  if (View.DocumentAge_)
    DocumentConfirmation_.recordConfirmed(View.DocumentRevision_,
                                          *SentAt - *View.DocumentAge_,
                                          Documents_.revision());
  else
    DocumentConfirmation_.recordKnownRevision(View.DocumentRevision_);
  if (View.ListAge_)
    ListConfirmation_.recordConfirmed(
        View.ListRevision_, *SentAt - *View.ListAge_, Instances_.revision());
  else
    ListConfirmation_.recordKnownRevision(View.ListRevision_);
  applyRestartNotices(Message.RestartNotices_, Now.Monotonic_, Output);
  if (Message.WarmTargets_)
    applyWarmTargets(*Message.WarmTargets_, Output);
  fetchNewerFrom(Instances_.addressOf(Message.From_, Message.Address_), View,
                 Now.Monotonic_, Output);
  tryFinishStartup(Now.Monotonic_, Output);
  reevaluate(Now, Output);
}

void FleetState::fetchNewerFrom(const std::string &PeerAddress,
                                const PeerView &View, framework::Instant Now,
                                OutputList &Output) {
  if (View.DocumentRevision_ > Documents_.examinedRevision())
    DocumentFetcher_.fetchIfNewer(
        PeerAddress, View.DocumentRevision_, Documents_.revision(),
        Documents_.sections().manifest(), Now, Output);
  if (View.ListRevision_ > Instances_.revision())
    ListFetcher_.fetchIfNewer(PeerAddress, View.ListRevision_,
                              Instances_.revision(),
                              Instances_.sections().manifest(), Now, Output);
}

void FleetState::applyRestartNotices(const std::vector<RestartNotice> &Notices,
                                     framework::Instant Now,
                                     OutputList &Output) {
  for (const RestartNotice &Notice : Notices) {
    LocallyKnownTargets_.insert(Notice.Target_);
    if (RestartNotices_.add(Notice, Now))
      Output.push_back(TargetReportedCold{Notice.Target_, Notice.StartId_});
  }
}

void FleetState::handleTargetRestart(const RestartNotice &Notice,
                                     framework::Moment Now,
                                     OutputList &Output) {
  LocallyKnownTargets_.insert(Notice.Target_);
  if (RestartNotices_.add(Notice, Now.Monotonic_))
    pushUpdate(Now.Monotonic_, Output);
}

void FleetState::handlePause(framework::Moment Now, OutputList &Output) {
  NextRoundAt_ = Now.Monotonic_;
  tick(Now, Output);
}

bool FleetState::isViewFresh(framework::Instant Now) const {
  return IsStarted_ && !Peers_.isSuperseded() && Now <= FreshUntil_;
}

void FleetState::reevaluate(framework::Moment Moment, OutputList &Output) {
  const framework::Instant Now = Moment.Monotonic_;
  const FreshnessEvidence DocumentEvidence{
      Now,
      SectionKind::Document,
      DocumentConfirmation_,
      Documents_.revision(),
      Peers_,
      Instances_.members(),
      Settings_.Self_,
      DocumentReader_.failedReadStartedAt()};
  const FreshnessEvidence ListEvidence{Now,
                                       SectionKind::Instances,
                                       ListConfirmation_,
                                       Instances_.revision(),
                                       Peers_,
                                       Instances_.members(),
                                       Settings_.Self_,
                                       ListReader_.failedReadStartedAt()};
  FreshUntil_ =
      std::min(freshUntil(DocumentEvidence), freshUntil(ListEvidence));
  const auto ConfirmedAt = ListConfirmation_.confirmedAt();
  const bool IsActive = ConfirmedAt && !Peers_.isSuperseded();
  const framework::Instant ConfirmedUntil =
      IsActive ? *ConfirmedAt + MaxConfirmationAge : framework::Instant::min();
  if (Shares_.updateConfirmation(ConfirmedUntil, Now))
    Output.push_back(SharesChanged{});
  KeyAdmission_.update(Instances_, Peers_, Moment, Output);
  if (KeyAdmission_.isConverging(Now))
    NextRoundAt_ = std::min(NextRoundAt_, Now + ConvergenceHeartbeatInterval);
  const bool IsFresh = isViewFresh(Now);
  if (IsFresh != WasFresh_)
    Output.push_back(ViewFreshnessChanged{IsFresh});
  WasFresh_ = IsFresh;
  if (Peers_.isSuperseded() && !WasSuperseded_) {
    WasSuperseded_ = true;
    Output.push_back(Superseded{});
  }
}

routing::SenderRank
FleetState::senderRank(const framework::TargetName &Target) const {
  const auto &Members = Instances_.members();
  const std::uint64_t Own =
      rendezvousWeight(Target.value(), Settings_.Self_.value());
  const auto HigherRanked = std::count_if(
      Members.begin(), Members.end(),
      [&](const document::PublishedInstance &Each) {
        return !Each.IsLeaving_ &&
               rendezvousWeight(Target.value(), Each.Name_.value()) > Own;
      });
  return {static_cast<std::uint32_t>(HigherRanked),
          std::max(1U, static_cast<std::uint32_t>(Members.size()))};
}

} // namespace cranberryspool::fleet
