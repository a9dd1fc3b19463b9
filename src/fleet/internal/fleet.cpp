#include "fleet/fleet.h"
#include "fleet/internal/fleetstate.h"
#include "fleet/internal/seeded/seededfleet.h"

#include <type_traits>
#include <utility>

namespace cranberryspool::fleet {

Fleet::Fleet(FleetSettings Settings, framework::Random Rng) {
  if (Settings.Seeds_)
    Seeded_ = std::make_unique<SeededFleet>(std::move(Settings), Rng);
  else
    State_ = std::make_unique<FleetState>(std::move(Settings), Rng);
}

Fleet::Fleet(Fleet &&) noexcept = default;
Fleet &Fleet::operator=(Fleet &&) noexcept = default;
Fleet::~Fleet() = default;

void Fleet::start(framework::Moment Now, OutputList &Output) {
  if (Seeded_)
    Seeded_->start(Now, Output);
  else
    State_->start(Now, Output);
}

void Fleet::tick(framework::Moment Now, OutputList &Output) {
  if (Seeded_)
    Seeded_->tick(Now, Output);
  else
    State_->tick(Now, Output);
}

framework::Instant Fleet::nextWakeUp() const {
  return Seeded_ ? Seeded_->nextWakeUp() : State_->nextWakeUp();
}

void Fleet::handleDocument(framework::Revision Revision,
                           const std::string &Text, framework::Moment Now,
                           OutputList &Output) {
  if (State_)
    State_->handleDocument(Revision, Text, Now, Output);
}

void Fleet::handleInstances(
    framework::Revision Revision,
    const std::vector<document::PublishedInstance> &Instances,
    framework::Moment Now, OutputList &Output) {
  if (State_)
    State_->handleInstances(Revision, Instances, Now, Output);
}

void Fleet::handleUnchanged(SectionKind Kind, framework::Moment Now,
                            OutputList &Output) {
  if (State_)
    State_->handleUnchanged(Kind, Now, Output);
}

void Fleet::handleReadFailure(SectionKind Kind, framework::Moment Now,
                              OutputList &Output) {
  if (State_)
    State_->handleReadFailure(Kind, Now, Output);
}

void Fleet::handleAllRecords(const std::vector<StoredRecord> &Records,
                             framework::Revision AsOf, framework::Moment Now,
                             OutputList &Output) {
  if (Seeded_)
    Seeded_->handleAllRecords(Records, AsOf, Now, Output);
}

void Fleet::handleChangedRecords(const std::vector<StoredRecord> &Records,
                                 framework::Revision AsOf,
                                 framework::Moment Now, OutputList &Output) {
  if (Seeded_)
    Seeded_->handleChangedRecords(Records, AsOf, Now, Output);
}

void Fleet::handlePartOfChanges(const std::vector<StoredRecord> &Records,
                                framework::Revision UpTo, framework::Moment Now,
                                OutputList &Output) {
  if (Seeded_)
    Seeded_->handlePartOfChanges(Records, UpTo, Now, Output);
}

void Fleet::handleHistoryLost(framework::Moment Now, OutputList &Output) {
  if (Seeded_)
    Seeded_->handleHistoryLost(Now, Output);
}

void Fleet::handleRecordsArriving(ReadKind Kind, framework::Moment Now,
                                  OutputList &Output) {
  if (Seeded_)
    Seeded_->handleRecordsArriving(Kind, Now, Output);
}

void Fleet::handleRecordsUnavailable(const ReadFailure &Failure,
                                     framework::Moment Now,
                                     OutputList &Output) {
  if (Seeded_)
    Seeded_->handleRecordsUnavailable(Failure, Now, Output);
}

void Fleet::setSeeds(std::vector<std::string> Addresses) {
  if (Seeded_)
    Seeded_->setSeeds(std::move(Addresses));
}

void Fleet::handlePeerMessage(const PeerMessage &Message, Transport Via,
                              framework::Moment Now, OutputList &Output) {
  // Messages for the other mode of peer discovery are ignored, like unknown
  // ones.
  std::visit(
      [&](const auto &Item) {
        using MessageType = std::decay_t<decltype(Item)>;
        if constexpr (std::is_same_v<MessageType, CrashUpdate>) {
          if (Seeded_)
            Seeded_->handle(Item, Now, Output);
          else
            State_->handle(Item, Now, Output);
        } else if constexpr (std::is_same_v<MessageType,
                                            quotas::QuotaRequest> ||
                             std::is_same_v<MessageType, quotas::QuotaGrant>) {
          // For the quota coordinator, which is not part of the fleet module.
        } else if constexpr (std::is_same_v<MessageType, RecordFragment>) {
          // Sent by earlier builds only; the record is requested instead.
        } else if constexpr (std::is_same_v<MessageType, GossipMessage> ||
                             std::is_same_v<MessageType, RecordRequest>) {
          if (Seeded_)
            Seeded_->handle(Item, Via, Now, Output);
        } else if constexpr (std::is_same_v<MessageType, LoadUpdate> ||
                             std::is_same_v<MessageType,
                                            capacity::DemandUpdate> ||
                             std::is_same_v<MessageType, RecordUpdate> ||
                             std::is_same_v<MessageType, StoreAvailability> ||
                             std::is_same_v<MessageType, ViewReplaced> ||
                             std::is_same_v<MessageType, RecordPart>) {
          if (Seeded_)
            Seeded_->handle(Item, Now, Output);
        } else {
          if (State_)
            State_->handle(Item, Now, Output);
        }
      },
      Message);
}

void Fleet::handleSections(const std::string &PeerAddress,
                           const SectionReply &Reply, framework::Moment Now,
                           OutputList &Output) {
  if (State_)
    State_->handleSections(PeerAddress, Reply, Now, Output);
}

void Fleet::handleSectionsUnavailable(const std::string &PeerAddress) {
  if (State_)
    State_->handleSectionsUnavailable(PeerAddress);
}

SectionReply Fleet::serveSections(const SectionRequest &Request) const {
  if (!State_) {
    SectionReply Empty;
    Empty.Kind_ = Request.Kind_;
    return Empty;
  }
  if (Request.Kind_ == SectionKind::Document)
    return State_->documents().sections().reply(Request, documentRevision());
  return State_->instances().sections().reply(Request, listRevision());
}

void Fleet::handleStopRequest(framework::Moment Now, OutputList &Output) {
  if (Seeded_) {
    Seeded_->handleStopRequest(Now, Output);
    return;
  }
  State_->handleStopRequest();
  State_->tick(Now, Output);
}

bool Fleet::isHandoverDone() const {
  return !State_ || State_->isHandoverDone();
}

void Fleet::handlePause(framework::Moment Now, OutputList &Output) {
  if (Seeded_)
    Seeded_->handlePause(Now, Output);
  else
    State_->handlePause(Now, Output);
}

void Fleet::handleTargetRestart(const framework::TargetName &Target,
                                framework::Incarnation StartId,
                                framework::Moment Now, OutputList &Output) {
  if (State_)
    State_->handleTargetRestart(RestartNotice{Target, StartId}, Now, Output);
}

void Fleet::recordLoad(const framework::TargetName &Target,
                       const routing::LoadReport &Report,
                       framework::Instant Now) {
  if (Seeded_)
    Seeded_->recordLoad(Target, Report, Now);
}

void Fleet::setDemand(std::vector<capacity::ServiceDemand> Services) {
  if (Seeded_)
    Seeded_->setDemand(std::move(Services));
}

std::optional<GroupPosition>
Fleet::groupPosition(framework::Instant Now) const {
  return Seeded_ ? Seeded_->groupPosition(Now) : std::nullopt;
}

void Fleet::sendCrashNotices(std::vector<CrashNotice> Notices,
                             CrashNoticeRecipients Recipients,
                             framework::Moment Now, OutputList &Output) {
  if (Seeded_)
    Seeded_->sendCrashNotices(std::move(Notices), Recipients, Now, Output);
  else
    State_->sendCrashNotices(std::move(Notices), Recipients, Output);
}

void Fleet::forwardCrashNotices(std::vector<CrashNotice> Notices,
                                const framework::InstanceName &From,
                                framework::Moment Now, OutputList &Output) {
  // Members of a published list send to all others themselves.
  if (Seeded_)
    Seeded_->forwardCrashNotices(std::move(Notices), From, Now, Output);
}

void Fleet::setWarm(const framework::TargetName &Target, bool IsWarm) {
  if (State_)
    State_->setWarm(Target, IsWarm);
}

const document::EnvironmentDocument *Fleet::currentDocument() const {
  if (Seeded_)
    return Seeded_->view().configuration().Document_.get();
  return State_->documents().current();
}

framework::Revision Fleet::documentRevision() const {
  if (Seeded_)
    return framework::Revision(Seeded_->view().configuration().Version_);
  return State_->documents().revision();
}

framework::Revision Fleet::listRevision() const {
  return Seeded_ ? Seeded_->view().revision() : State_->instances().revision();
}

const std::vector<document::PublishedInstance> &
Fleet::publishedTargets() const {
  static const std::vector<document::PublishedInstance> None;
  return State_ ? State_->instances().targets() : None;
}

std::vector<document::PublishedInstance> Fleet::publishedPeers() const {
  return Seeded_ ? Seeded_->peers() : State_->instances().members();
}

std::vector<document::PublishedInstance> Fleet::runningPeers() const {
  return Seeded_ ? Seeded_->runningPeers()
                 : std::vector<document::PublishedInstance>();
}

std::vector<MemberInfo> Fleet::listRunningMembers() const {
  return Seeded_ ? Seeded_->listRunningMembers() : std::vector<MemberInfo>();
}

bool Fleet::isTrustedPeer(const framework::InstanceName &Name,
                          framework::Incarnation Incarnation) const {
  return !Seeded_ || Seeded_->isTrusted(Name, Incarnation);
}

bool Fleet::isRunningPeer(const framework::InstanceName &Name,
                          framework::Incarnation Incarnation,
                          const std::string &Address) const {
  return Seeded_ && Seeded_->isRunningPeer(Name, Incarnation, Address);
}

std::vector<PublishedTarget> Fleet::storedTargets() const {
  return Seeded_ ? Seeded_->view().targets() : std::vector<PublishedTarget>();
}

std::size_t Fleet::fleetSize() const {
  return Seeded_ ? Seeded_->fleetSize() : State_->instances().members().size();
}

std::optional<ZonePosition> Fleet::zonePosition() const {
  if (!Seeded_)
    return std::nullopt;
  return Seeded_->zonePosition();
}

const FleetBounds *Fleet::bounds() const {
  return Seeded_ ? &Seeded_->bounds() : nullptr;
}

double Fleet::retrySlack(framework::Instant Now) const {
  return Seeded_ ? Seeded_->retrySlack(Now) : 0;
}

framework::Duration Fleet::viewAge(framework::Instant Now) const {
  if (!Seeded_)
    return {};
  return Seeded_->view().age(Now).value_or(framework::Duration::max());
}

std::optional<StoreStatement>
Fleet::lastStoreStatement(framework::Instant Now) const {
  return Seeded_ ? Seeded_->lastStatement(Now) : std::nullopt;
}

bool Fleet::isViewBehind() const { return Seeded_ && Seeded_->isViewBehind(); }

bool Fleet::isViewFresh(framework::Instant Now) const {
  return Seeded_ ? Seeded_->isViewFresh(Now) : State_->isViewFresh(Now);
}

std::uint32_t Fleet::coldShare(const framework::TargetName &Target,
                               framework::Instant Now) const {
  return State_ ? State_->shares().coldShare(Target, Now) : 0;
}

std::optional<double> Fleet::coldRate(const framework::TargetName &Target,
                                      double FleetRate,
                                      framework::Instant Now) const {
  if (!Seeded_)
    return std::nullopt;
  return Seeded_->coldRate(Target, FleetRate, Now);
}

std::optional<routing::SenderRank>
Fleet::senderRank(const framework::TargetName &Target,
                  framework::Instant Now) const {
  return Seeded_ ? Seeded_->senderRank(Target, Now)
                 : State_->senderRank(Target);
}

std::uint32_t
Fleet::connectionShare(const framework::TargetName &Target) const {
  return State_ ? State_->shares().connectionShare(Target) : 1;
}

bool Fleet::mayProbe(const framework::TargetName &Target,
                     framework::Duration Interval,
                     framework::Instant Now) const {
  return Seeded_ ? Seeded_->mayProbe(Target, Interval, Now)
                 : State_->shares().mayProbe(Target, Now);
}

void Fleet::recordProbe(const framework::TargetName &Target,
                        framework::Instant Now) {
  if (Seeded_)
    Seeded_->recordProbe(Target, Now);
  else
    State_->shares().recordProbe(Target, Now);
}

void Fleet::requestKey(framework::CallId Call,
                       const framework::IdempotencyKey &Key,
                       framework::Moment Now, OutputList &Output) {
  if (State_) {
    State_->requestKey(Call, Key, Now, Output);
    return;
  }
  // Without a published list of instances, keys have no owner.
  KeyDecided Refused;
  Refused.Call_ = Call;
  Refused.Decision_ = KeyDecision::OwnerUnreachable;
  Output.push_back(Refused);
}

void Fleet::handleKeyedCallEnd(framework::CallId Call, calls::Ending Ending,
                               bool IsResponseStored, framework::Moment Now,
                               OutputList &Output) {
  if (State_)
    State_->handleKeyedCallEnd(Call, Ending, IsResponseStored, Now, Output);
}

} // namespace cranberryspool::fleet
