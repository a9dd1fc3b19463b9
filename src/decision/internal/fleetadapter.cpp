#include "decision/internal/fleetadapter.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cranberryspool::decision {

namespace {

/// Of rejected messages at most one is logged in this time; all are counted.
constexpr framework::Duration RejectionLogInterval = std::chrono::seconds(1);

/// Changed targets and shares are applied at most once in this time for each
/// listed target: applying them takes processor time for every target, however
/// few have changed.
constexpr framework::Duration ApplicationIntervalPerTarget =
    std::chrono::microseconds(150);
constexpr framework::Duration MaxApplicationInterval =
    std::chrono::milliseconds(100);

ChangeKind changeKindOf(fleet::ViewEvent Event) {
  switch (Event) {
  case fleet::ViewEvent::Behind:
    return ChangeKind::ViewBehind;
  case fleet::ViewEvent::CaughtUp:
    return ChangeKind::ViewCaughtUp;
  case fleet::ViewEvent::StoreUnavailable:
    return ChangeKind::StoreUnavailable;
  case fleet::ViewEvent::StoreAvailable:
    return ChangeKind::StoreAvailable;
  case fleet::ViewEvent::StoreReadSlow:
    return ChangeKind::StoreReadSlow;
  case fleet::ViewEvent::StoreReadPartial:
    return ChangeKind::StoreReadPartial;
  case fleet::ViewEvent::StoreReadIncomplete:
    return ChangeKind::StoreReadIncomplete;
  case fleet::ViewEvent::ChangesFound:
    return ChangeKind::StoreChangesFound;
  case fleet::ViewEvent::Contradicted:
    return ChangeKind::ViewContradicted;
  case fleet::ViewEvent::Replaced:
    return ChangeKind::ViewReplaced;
  case fleet::ViewEvent::UpdatesOverdue:
    return ChangeKind::UpdatesOverdue;
  case fleet::ViewEvent::DatagramsLost:
    return ChangeKind::DatagramsLost;
  case fleet::ViewEvent::TargetDraining:
    return ChangeKind::TargetDraining;
  case fleet::ViewEvent::TargetRemoved:
    return ChangeKind::TargetRemoved;
  case fleet::ViewEvent::RemovalDeferred:
    break;
  }
  return ChangeKind::TargetRemovalDeferred;
}

} // namespace

void FleetAdapter::handle(const EventContext &Context,
                          const DocumentPublished &Input) {
  Core_.Fleet_.handleDocument(Input.Revision_, Input.Text_, Context.Now_,
                              Core_.FleetOutput_);
}

void FleetAdapter::handle(const EventContext &Context,
                          const DocumentUnchanged &) {
  Core_.Fleet_.handleUnchanged(fleet::SectionKind::Document, Context.Now_,
                               Core_.FleetOutput_);
}

void FleetAdapter::handle(const EventContext &Context,
                          const DocumentUnavailable &) {
  Core_.Fleet_.handleReadFailure(fleet::SectionKind::Document, Context.Now_,
                                 Core_.FleetOutput_);
}

void FleetAdapter::handle(const EventContext &Context,
                          const InstancesPublished &Input) {
  Core_.Fleet_.handleInstances(Input.Revision_, Input.Instances_, Context.Now_,
                               Core_.FleetOutput_);
}

void FleetAdapter::handle(const EventContext &Context,
                          const InstancesUnchanged &) {
  Core_.Fleet_.handleUnchanged(fleet::SectionKind::Instances, Context.Now_,
                               Core_.FleetOutput_);
}

void FleetAdapter::handle(const EventContext &Context,
                          const InstancesUnavailable &) {
  Core_.Fleet_.handleReadFailure(fleet::SectionKind::Instances, Context.Now_,
                                 Core_.FleetOutput_);
}

void FleetAdapter::handle(const EventContext &Context,
                          const PeerMessageReceived &Input) {
  if (const auto Untrusted = Quota_.findUntrustedSender(Input.Message_)) {
    reportRejectedMessage(Context, Untrusted->value() +
                                       ": quota message of an instance that is "
                                       "not known to belong to the fleet");
    return;
  }
  if (Quota_.tryHandle(Context, Input.Message_))
    return;
  Core_.Fleet_.handlePeerMessage(Input.Message_, Input.Via_, Context.Now_,
                                 Core_.FleetOutput_);
}

void FleetAdapter::handle(const EventContext &Context,
                          const PeerMessageUnreadable &Input) {
  reportRejectedMessage(Context, std::string("undecodable datagram: ")
                                     .append(fleet::nameOf(Input.Failure_)));
}

void FleetAdapter::handle(const EventContext &Context,
                          const SectionsFetched &Input) {
  Core_.Fleet_.handleSections(Input.PeerAddress_, Input.Reply_, Context.Now_,
                              Core_.FleetOutput_);
}

void FleetAdapter::handle(const EventContext &,
                          const SectionsUnavailable &Input) {
  Core_.Fleet_.handleSectionsUnavailable(Input.PeerAddress_);
}

void FleetAdapter::handle(const EventContext &Context,
                          const SectionsRequested &Input) {
  Context.Output_.push_back(ServeSections{
      Input.Request_, Core_.Fleet_.serveSections(Input.Sections_)});
}

void FleetAdapter::handle(const EventContext &Context,
                          const RecordsRead &Input) {
  Core_.Fleet_.handleAllRecords(Input.Records_, Input.AsOf_, Context.Now_,
                                Core_.FleetOutput_);
}

void FleetAdapter::handle(const EventContext &Context,
                          const RecordsChanged &Input) {
  if (Input.IsPart_)
    Core_.Fleet_.handlePartOfChanges(Input.Records_, Input.AsOf_, Context.Now_,
                                     Core_.FleetOutput_);
  else
    Core_.Fleet_.handleChangedRecords(Input.Records_, Input.AsOf_, Context.Now_,
                                      Core_.FleetOutput_);
}

void FleetAdapter::handle(const EventContext &Context,
                          const RecordHistoryLost &) {
  Core_.Fleet_.handleHistoryLost(Context.Now_, Core_.FleetOutput_);
}

void FleetAdapter::handle(const EventContext &Context,
                          const RecordsArriving &Input) {
  Core_.Fleet_.handleRecordsArriving(Input.Kind_, Context.Now_,
                                     Core_.FleetOutput_);
}

void FleetAdapter::handle(const EventContext &Context,
                          const RecordsUnavailable &Input) {
  Core_.Fleet_.handleRecordsUnavailable(
      {Input.Reason_, Input.IsTimeout_, Input.Kind_, Input.IsCut_},
      Context.Now_, Core_.FleetOutput_);
}

void FleetAdapter::handle(const EventContext &, const SeedsChanged &Input) {
  Core_.Fleet_.setSeeds(Input.Addresses_);
}

void FleetAdapter::processOutputs(const EventContext &Context) {
  while (!Core_.FleetOutput_.empty()) {
    const fleet::OutputList Outputs = std::exchange(Core_.FleetOutput_, {});
    for (const fleet::Output &Output : Outputs)
      std::visit([&](const auto &Each) { apply(Context, Each); }, Output);
  }
  applyChanges(Context);
}

void FleetAdapter::applyChanges(const EventContext &Context) {
  const bool IsChanged = AreTargetsChanged_ || AreSharesChanged_;
  if (!IsChanged || Context.now() < NextApplication_)
    return;
  ++Core_.Counters_.TargetUpdates_;
  AreSharesChanged_ = false;
  // New targets receive the present shares.
  if (std::exchange(AreTargetsChanged_, false))
    EnvironmentUpdater_.setStoredTargets(Context, Core_.Fleet_.storedTargets());
  else
    EnvironmentUpdater_.applyShares(Context);
  NextApplication_ =
      Context.now() + std::min(MaxApplicationInterval,
                               ApplicationIntervalPerTarget *
                                   static_cast<std::int64_t>(
                                       Core_.Environment_.targets().size()));
}

std::optional<framework::Instant> FleetAdapter::nextWakeUp() const {
  if (AreTargetsChanged_ || AreSharesChanged_)
    return NextApplication_;
  return std::nullopt;
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::CrashNoticesReceived &Output) {
  Crashes_.merge(Context, Output);
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::PeerMessageRejected &Output) {
  reportRejectedMessage(Context, Output.From_ + ": " + Output.Reason_);
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::PeerAdmitted &Output) {
  ReportChange Report{ChangeKind::PeerAdmitted, Output.Peer_.value()};
  Report.Source_ = Output.Source_;
  Context.Output_.push_back(std::move(Report));
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::PeerNotConfirmed &Output) {
  report(Context, ChangeKind::PeerNotConfirmed, Output.Peer_.value());
}

void FleetAdapter::reportRejectedMessage(const EventContext &Context,
                                         std::string Subject) {
  ++Core_.Counters_.PeerMessagesRejected_;
  if (RejectionLoggedAt_ &&
      Context.now() - *RejectionLoggedAt_ < RejectionLogInterval)
    return;
  RejectionLoggedAt_ = Context.now();
  report(Context, ChangeKind::PeerMessageRejected, std::move(Subject));
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::DocumentApplied &Output) {
  Core_.DocumentOrigin_ =
      std::make_shared<const calls::DocumentOrigin>(calls::DocumentOrigin{
          Output.Revision_, Output.Source_, Output.RecordRevision_});
  EnvironmentUpdater_.setDocument(Context, *Core_.Fleet_.currentDocument());
  Access_.updateWorkspaces(Context);
  Quota_.updateQuotas(Context);
  ReportChange Report{ChangeKind::DocumentInForce,
                      std::to_string(Output.Revision_.value())};
  Report.Source_ = Output.Source_;
  Context.Output_.push_back(std::move(Report));
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::DemandReceived &Output) {
  if (!Core_.Settings_.IsSlotSharingEnabled_)
    return;
  const auto Fault = Core_.Demand_.record(Output.Update_, Context.now());
  if (Fault)
    reportRejectedMessage(Context,
                          Output.Update_.From_.value() + ": " + *Fault);
  else
    EnvironmentUpdater_.applySlotShares(Context);
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::DocumentRejected &Output) {
  ++Core_.Counters_.DocumentsRejected_;
  report(Context, ChangeKind::DocumentRejected,
         std::to_string(Output.Revision_.value()));
}

void FleetAdapter::apply(const EventContext &,
                         const fleet::LoadReceived &Output) {
  if (const auto Target = Core_.Environment_.findTarget(Output.Target_))
    Core_.Targets_.recordReport(*Target, Output.Report_, Output.ReceivedAt_);
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::StaleValueIgnored &Output) {
  ++Core_.Counters_.DocumentsOlderIgnored_;
  report(Context, ChangeKind::DocumentOlderIgnored,
         std::to_string(Output.Revision_.value()));
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::FetchSections &Output) {
  Context.Output_.push_back(
      FetchSections{Output.PeerAddress_, Output.Request_});
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::InstancesChanged &) {
  std::vector<document::PublishedInstance> All =
      Core_.Fleet_.publishedTargets();
  const auto Peers = Core_.Fleet_.publishedPeers();
  All.insert(All.end(), Peers.begin(), Peers.end());
  EnvironmentUpdater_.setInstances(Context, std::move(All));
}

void FleetAdapter::apply(const EventContext &, const fleet::SharesChanged &) {
  AreSharesChanged_ = true;
  Quota_.updateMembers();
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::StoredResponseExpired &Output) {
  Context.Output_.push_back(DropKeptAnswer{Output.Call_});
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::KeyDecided &Output) {
  KeyHandler_.handle(Context, Output);
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::PeerReachabilityChanged &Output) {
  if (Output.IsReachable_)
    Core_.ReachablePeers_.insert(Output.Peer_);
  else
    Core_.ReachablePeers_.erase(Output.Peer_);
  report(Context,
         Output.IsReachable_ ? ChangeKind::PeerJoined : ChangeKind::PeerLost,
         Output.Peer_.value());
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::ReadPublished &Output) {
  if (Output.Kind_ == fleet::SectionKind::Document)
    Context.Output_.push_back(ReadDocument{Output.NewerThan_, Output.Wait_});
  else
    Context.Output_.push_back(ReadInstances{Output.NewerThan_, Output.Wait_});
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::ReadRecords &Output) {
  Context.Output_.push_back(ReadRecords{
      Output.After_, Output.Wait_, Output.TimeLimit_, Output.IsStaleAllowed_});
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::RecordRejected &Output) {
  report(Context, ChangeKind::RecordRejected,
         Output.Key_ + ": " + Output.Reason_);
}

void FleetAdapter::apply(const EventContext &, const fleet::TargetsChanged &) {
  AreTargetsChanged_ = true;
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::SendMessage &Output) {
  Context.Output_.push_back(
      SendPeerMessage{Output.PeerAddress_, Output.Message_, Output.Via_});
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::Superseded &) {
  Stop_.request(Context);
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::TargetReportedCold &Output) {
  const auto Target = Core_.Environment_.findTarget(Output.Target_);
  if (!Target)
    return;
  const bool IsNewStart =
      Core_.Targets_.recordStartId(*Target, Output.StartId_, Context.now());
  if (!IsNewStart && !Core_.Targets_.isCold(*Target))
    Core_.Targets_.markCold(*Target, Context.now());
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::TargetReportedWarm &Output) {
  if (const auto Target = Core_.Environment_.findTarget(Output.Target_))
    Core_.Targets_.markWarm(*Target, Context.now());
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::ViewChanged &Output) {
  if (Output.Event_ == fleet::ViewEvent::Behind)
    ++Core_.Counters_.ViewGaps_;
  if (Output.Event_ == fleet::ViewEvent::StoreUnavailable)
    ++Core_.Counters_.StoreOutages_;
  ReportChange Report{changeKindOf(Output.Event_), Output.Subject_};
  Report.Source_ = Output.Source_;
  Report.Announced_ = Output.Announced_;
  Report.Elapsed_ = Output.Elapsed_;
  Context.Output_.push_back(std::move(Report));
}

void FleetAdapter::apply(const EventContext &Context,
                         const fleet::ViewFreshnessChanged &Output) {
  report(Context,
         Output.IsFresh_ ? ChangeKind::ViewRestored : ChangeKind::ViewLost,
         Core_.Settings_.Self_.value());
}

void FleetAdapter::report(const EventContext &Context, ChangeKind Kind,
                          std::string Subject) {
  Context.Output_.push_back(ReportChange{Kind, std::move(Subject)});
}

} // namespace cranberryspool::decision
