#include "fleet/internal/fleetstate.h"
#include "fleet/internal/freshness.h"
#include "fleet/internal/timing.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// How long a starting instance waits for peers that do not answer before it
/// trusts the platform's document.
constexpr framework::Duration StartPatience = std::chrono::seconds(2);

/// The same while a peer is known to hold a newer document.
constexpr framework::Duration NewerPatience = std::chrono::seconds(10);

/// How long an instance goes on reading the platform after it was a better
/// source than its peers.
constexpr framework::Duration ActingTime = std::chrono::seconds(10);

bool isOld(const Confirmation &Confirmed, framework::Instant Now) {
  const auto Age = Confirmed.age(Now);
  return !Age || *Age > SuspicionAge;
}

} // namespace

FleetState::FleetState(FleetSettings Settings, framework::Random Rng)
    : Settings_(std::move(Settings)), Rng_(Rng),
      Peers_(Settings_.Self_, Settings_.Incarnation_), Shares_(Settings_.Self_),
      KeyHome_(Settings_), KeyRunner_(Settings_) {}

void FleetState::start(framework::Moment Now, OutputList &Output) {
  tick(Now, Output);
}

void FleetState::tick(framework::Moment Now, OutputList &Output) {
  const framework::Instant At = Now.Monotonic_;
  LastTickAt_ = At;
  readPlatform(At, Output);
  if (At >= NextRoundAt_)
    sendRound(At, Output);
  tryFinishStart(At, Output);
  KeyRunner_.tick(Instances_, KeyHome_, Peers_, Now, Output);
  refresh(Now, Output);
}

framework::Instant FleetState::nextWakeUp() const {
  return std::min(
      {NextRoundAt_, LastTickAt_ + TickInterval, KeyRunner_.nextWakeUp()});
}

bool FleetState::isReading(const Confirmation &Confirmed,
                           framework::Instant ActingUntil,
                           framework::Instant Now) const {
  if (isStarting() || !Confirmed.confirmedAt())
    return true;
  const std::size_t Position = Readers_.position(Settings_.Self_);
  const std::size_t Readers = Readers_.readerCount();
  if (Position < Readers || Now < ActingUntil)
    return true;
  const std::size_t Others = Readers_.names().size() - Readers + 1;
  const auto Step = static_cast<framework::Duration::rep>(Position - Readers);
  const framework::Duration Threshold =
      SuspicionAge + (WideningEnd - SuspicionAge) * Step /
                         static_cast<framework::Duration::rep>(Others);
  return *Confirmed.age(Now) > Threshold;
}

void FleetState::readPlatform(framework::Instant Now, OutputList &Output) {
  if (Peers_.isSuperseded())
    return;
  const std::size_t Size = Instances_.members().size();
  std::optional<framework::Revision> HaveList;
  if (Instances_.hasValue())
    HaveList = Instances_.revision();
  ListReader_.tick(isReading(ListConfirmed_, ActingUntil_, Now), HaveList,
                   isOld(ListConfirmed_, Now), Size, Now, Output);
  std::optional<framework::Revision> HaveDocument;
  if (Documents_.hasValue())
    HaveDocument = std::max(Documents_.judgedRevision(), Documents_.revision());
  const bool IsHeld = isStarting() && Held_;
  DocumentReader_.tick(
      !IsHeld && isReading(DocumentConfirmed_, ActingUntil_, Now), HaveDocument,
      isOld(DocumentConfirmed_, Now), Size, Now, Output);
}

void FleetState::handleDocument(framework::Revision Revision,
                                const std::string &Text, framework::Moment Now,
                                OutputList &Output) {
  const auto AskedAt = DocumentReader_.noteValue(Now.Monotonic_);
  if (!AskedAt) {
    takeUnaskedDocument(Revision, Text, Now, Output);
    return;
  }
  if (isStarting()) {
    Held_ = HeldDocument{Revision, Text, *AskedAt};
    tryFinishStart(Now.Monotonic_, Output);
    refresh(Now, Output);
    return;
  }
  const OfferResult Result = Documents_.offerText(Revision, Text);
  if (Result == OfferResult::Older) {
    Output.push_back(StaleValueIgnored{SectionKind::Document, Revision});
  } else {
    const bool IsBehind =
        Result == OfferResult::Rejected && Documents_.hasValue();
    DocumentConfirmed_.note(IsBehind ? Documents_.revision() : Revision,
                            *AskedAt, Documents_.revision());
  }
  if (Result != OfferResult::Accepted)
    DocumentReader_.holdBack(Now.Monotonic_);
  applyDocument(Result, Revision, Now.Monotonic_, Output);
  readPlatform(Now.Monotonic_, Output);
  refresh(Now, Output);
}

void FleetState::takeUnaskedDocument(framework::Revision Revision,
                                     const std::string &Text,
                                     framework::Moment Now,
                                     OutputList &Output) {
  if (isStarting())
    return;
  const OfferResult Result = Documents_.offerText(Revision, Text);
  applyDocument(Result, Revision, Now.Monotonic_, Output);
  refresh(Now, Output);
}

void FleetState::applyDocument(OfferResult Result, framework::Revision Revision,
                               framework::Instant Now, OutputList &Output) {
  if (Result == OfferResult::Rejected)
    Output.push_back(DocumentRejected{Revision});
  if (Result != OfferResult::Accepted)
    return;
  DocumentConfirmed_.noteAccepted(Revision);
  Shares_.rebuild(Instances_, Documents_.current(), Now);
  Output.push_back(DocumentApplied{Revision});
  pushNews(Now, Output);
}

void FleetState::handleInstances(
    framework::Revision Revision,
    const std::vector<document::PublishedInstance> &Instances,
    framework::Moment Now, OutputList &Output) {
  const auto AskedAt = ListReader_.noteValue(Now.Monotonic_);
  if (!AskedAt) {
    const OfferResult Late = Instances_.offerList(Revision, Instances);
    applyInstances(Late, Revision, Now.Monotonic_, Output);
    refresh(Now, Output);
    return;
  }
  const OfferResult Result = Instances_.offerList(Revision, Instances);
  if (Result == OfferResult::Older)
    Output.push_back(StaleValueIgnored{SectionKind::Instances, Revision});
  else
    ListConfirmed_.note(Revision, *AskedAt, Instances_.revision());
  if (Result != OfferResult::Accepted)
    ListReader_.holdBack(Now.Monotonic_);
  applyInstances(Result, Revision, Now.Monotonic_, Output);
  readPlatform(Now.Monotonic_, Output);
  refresh(Now, Output);
}

void FleetState::applyInstances(OfferResult Result,
                                framework::Revision Revision,
                                framework::Instant Now, OutputList &Output) {
  if (Result != OfferResult::Accepted)
    return;
  ListConfirmed_.noteAccepted(Revision);
  Readers_ = ReaderOrder(Instances_.members());
  Rotation_.clear();
  Shares_.rebuild(Instances_, Documents_.current(), Now);
  Output.push_back(InstancesChanged{});
  if (!AskingPeersSince_) {
    AskingPeersSince_ = Now;
    NextRoundAt_ = Now;
    sendRound(Now, Output);
    return;
  }
  pushNews(Now, Output);
}

void FleetState::handleUnchanged(SectionKind Kind, framework::Moment Now,
                                 OutputList &Output) {
  const bool IsDocument = Kind == SectionKind::Document;
  PlatformReader &Reader = IsDocument ? DocumentReader_ : ListReader_;
  Confirmation &Confirmed = IsDocument ? DocumentConfirmed_ : ListConfirmed_;
  const framework::Revision Accepted =
      IsDocument ? Documents_.revision() : Instances_.revision();
  const auto At = Reader.handleUnchanged(Now.Monotonic_);
  if (!At)
    return;
  const auto Before = Confirmed.confirmedAt();
  if (!Before || *Before + SuspicionAge < Now.Monotonic_)
    ActingUntil_ = Now.Monotonic_ + ActingTime;
  Confirmed.note(Accepted, *At, Accepted);
  readPlatform(Now.Monotonic_, Output);
  refresh(Now, Output);
}

void FleetState::handleReadFailure(SectionKind Kind, framework::Moment Now,
                                   OutputList &Output) {
  const bool IsDocument = Kind == SectionKind::Document;
  (IsDocument ? DocumentReader_ : ListReader_).noteFailed(Now.Monotonic_);
  tryFinishStart(Now.Monotonic_, Output);
  refresh(Now, Output);
}

void FleetState::handleSections(const std::string &PeerAddress,
                                const SectionReply &Reply,
                                framework::Moment Now, OutputList &Output) {
  const framework::Instant At = Now.Monotonic_;
  if (Reply.Kind_ == SectionKind::Document) {
    DocumentSpread_.noteEnded(PeerAddress);
    const OfferResult Result = Documents_.offerSections(Reply);
    applyDocument(Result, Reply.Revision_, At, Output);
  } else {
    ListSpread_.noteEnded(PeerAddress);
    const OfferResult Result = Instances_.offerSections(Reply);
    applyInstances(Result, Reply.Revision_, At, Output);
  }
  tryFinishStart(At, Output);
  refresh(Now, Output);
}

void FleetState::handleSectionsUnavailable(const std::string &PeerAddress) {
  DocumentSpread_.noteEnded(PeerAddress);
  ListSpread_.noteEnded(PeerAddress);
}

bool FleetState::haveAllPeersAnswered() const {
  for (const document::PublishedInstance &Member : Instances_.members()) {
    if (Member.IsLeaving_ || Member.Name_ == Settings_.Self_)
      continue;
    if (!Peers_.isHeardSince(Member.Name_, *AskingPeersSince_))
      return false;
  }
  return true;
}

void FleetState::tryFinishStart(framework::Instant Now, OutputList &Output) {
  if (IsStarted_ || !AskingPeersSince_)
    return;
  const framework::Duration Waited = Now - *AskingPeersSince_;
  const bool IsNewerKnown =
      DocumentConfirmed_.newestHeard() > Documents_.revision();
  if (IsNewerKnown && Waited < NewerPatience)
    return;
  if (!haveAllPeersAnswered() && Waited < StartPatience)
    return;
  if (!Held_ && !Documents_.hasValue())
    return;
  IsStarted_ = true;
  if (!Held_)
    return;
  const HeldDocument Offered = std::move(*Held_);
  Held_.reset();
  const OfferResult Result =
      Documents_.offerText(Offered.Revision_, Offered.Text_);
  if (Result == OfferResult::Older)
    Output.push_back(
        StaleValueIgnored{SectionKind::Document, Offered.Revision_});
  else
    DocumentConfirmed_.note(Offered.Revision_, Offered.AskedAt_,
                            Documents_.revision());
  applyDocument(Result, Offered.Revision_, Now, Output);
}

void FleetState::handle(const Heartbeat &Message, framework::Moment Now,
                        OutputList &Output) {
  if (Message.From_ != Settings_.Self_)
    Peers_.noteHeartbeat(Message);
  HeartbeatAck Ack;
  Ack.From_ = Settings_.Self_;
  Ack.Incarnation_ = Settings_.Incarnation_;
  Ack.Address_ = Settings_.Address_;
  Ack.EchoIncarnation_ = Message.Incarnation_;
  Ack.EchoSequence_ = Message.Sequence_;
  Ack.NewestIncarnation_ = Peers_.newestIncarnation(Message.From_);
  Ack.View_ = view(Now.Monotonic_);
  Ack.Cold_ = Cold_.recent(Now.Monotonic_);
  if (Message.IsWarmthWanted_)
    Ack.Warm_ = warmTargets();
  Output.push_back(SendMessage{
      Instances_.addressOf(Message.From_, Message.Address_), std::move(Ack)});
  if (Message.Incarnation_ < Peers_.newestIncarnation(Message.From_))
    return;
  takeNotices(Message.Cold_, Now.Monotonic_, Output);
  followPeer(Instances_.addressOf(Message.From_, Message.Address_),
             Message.View_, Now.Monotonic_, Output);
}

void FleetState::handle(const HeartbeatAck &Message, framework::Moment Now,
                        OutputList &Output) {
  const auto AskedAt = Peers_.noteAck(Message);
  if (!AskedAt)
    return;
  PeerRecord &Peer = Peers_.records()[Message.From_];
  if (!Peer.IsHeard_) {
    Peer.IsHeard_ = true;
    Output.push_back(PeerReachabilityChanged{Message.From_, true});
  }
  const PeerView &View = Message.View_;
  if (View.DocumentAge_)
    DocumentConfirmed_.note(View.DocumentRevision_,
                            *AskedAt - *View.DocumentAge_,
                            Documents_.revision());
  else
    DocumentConfirmed_.noteHeard(View.DocumentRevision_);
  if (View.ListAge_)
    ListConfirmed_.note(View.ListRevision_, *AskedAt - *View.ListAge_,
                        Instances_.revision());
  else
    ListConfirmed_.noteHeard(View.ListRevision_);
  takeNotices(Message.Cold_, Now.Monotonic_, Output);
  if (Message.Warm_)
    takeWarmTargets(*Message.Warm_, Output);
  followPeer(Instances_.addressOf(Message.From_, Message.Address_), View,
             Now.Monotonic_, Output);
  tryFinishStart(Now.Monotonic_, Output);
  refresh(Now, Output);
}

void FleetState::followPeer(const std::string &PeerAddress,
                            const PeerView &View, framework::Instant Now,
                            OutputList &Output) {
  if (View.DocumentRevision_ > Documents_.judgedRevision())
    DocumentSpread_.notePeerRevision(
        PeerAddress, View.DocumentRevision_, Documents_.revision(),
        Documents_.sections().manifest(), Now, Output);
  if (View.ListRevision_ > Instances_.revision())
    ListSpread_.notePeerRevision(PeerAddress, View.ListRevision_,
                                 Instances_.revision(),
                                 Instances_.sections().manifest(), Now, Output);
}

void FleetState::takeNotices(const std::vector<ColdNotice> &Notices,
                             framework::Instant Now, OutputList &Output) {
  for (const ColdNotice &Notice : Notices) {
    Judged_.insert(Notice.Target_);
    if (Cold_.note(Notice, Now))
      Output.push_back(TargetReportedCold{Notice.Target_, Notice.StartId_});
  }
}

void FleetState::handleTargetRestart(const ColdNotice &Notice,
                                     framework::Moment Now,
                                     OutputList &Output) {
  Judged_.insert(Notice.Target_);
  if (Cold_.note(Notice, Now.Monotonic_))
    pushNews(Now.Monotonic_, Output);
}

void FleetState::handlePause(framework::Moment Now, OutputList &Output) {
  NextRoundAt_ = Now.Monotonic_;
  tick(Now, Output);
}

bool FleetState::isViewFresh(framework::Instant Now) const {
  return IsStarted_ && !Peers_.isSuperseded() && Now <= FreshUntil_;
}

void FleetState::refresh(framework::Moment Moment, OutputList &Output) {
  const framework::Instant Now = Moment.Monotonic_;
  const FreshnessEvidence OfDocument{Now,
                                     SectionKind::Document,
                                     DocumentConfirmed_,
                                     Documents_.revision(),
                                     Peers_,
                                     Instances_.members(),
                                     Settings_.Self_,
                                     DocumentReader_.failedSince()};
  const FreshnessEvidence OfList{Now,
                                 SectionKind::Instances,
                                 ListConfirmed_,
                                 Instances_.revision(),
                                 Peers_,
                                 Instances_.members(),
                                 Settings_.Self_,
                                 ListReader_.failedSince()};
  FreshUntil_ = std::min(freshUntil(OfDocument), freshUntil(OfList));
  const auto ConfirmedAt = ListConfirmed_.confirmedAt();
  const bool IsActive = ConfirmedAt && !Peers_.isSuperseded();
  const framework::Instant ConfirmedUntil =
      IsActive ? *ConfirmedAt + FreshBound : framework::Instant::min();
  if (Shares_.noteConfirmed(ConfirmedUntil, Now))
    Output.push_back(SharesChanged{});
  KeyHome_.update(Instances_, Peers_, Moment, Output);
  if (KeyHome_.isSettling(Now))
    NextRoundAt_ = std::min(NextRoundAt_, Now + SettlingHeartbeatInterval);
  const bool IsFresh = isViewFresh(Now);
  if (IsFresh != WasFresh_)
    Output.push_back(ViewFreshnessChanged{IsFresh});
  WasFresh_ = IsFresh;
  if (Peers_.isSuperseded() && !WasSuperseded_) {
    WasSuperseded_ = true;
    Output.push_back(Superseded{});
  }
}

} // namespace cranberryspool::fleet
