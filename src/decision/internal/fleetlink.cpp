#include "decision/internal/fleetlink.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cranberryspool::decision {

void FleetLink::handle(const Step &At, const DocumentPublished &Input) {
  Parts_.Fleet_.noteDocument(Input.Revision_, Input.Text_, At.Now_,
                             Parts_.FleetOutput_);
}

void FleetLink::handle(const Step &At, const DocumentUnchanged &) {
  Parts_.Fleet_.noteUnchanged(fleet::SectionKind::Document, At.Now_,
                              Parts_.FleetOutput_);
}

void FleetLink::handle(const Step &At, const DocumentUnavailable &) {
  Parts_.Fleet_.noteUnavailable(fleet::SectionKind::Document, At.Now_,
                                Parts_.FleetOutput_);
}

void FleetLink::handle(const Step &At, const InstancesPublished &Input) {
  Parts_.Fleet_.noteInstances(Input.Revision_, Input.Instances_, At.Now_,
                              Parts_.FleetOutput_);
}

void FleetLink::handle(const Step &At, const InstancesUnchanged &) {
  Parts_.Fleet_.noteUnchanged(fleet::SectionKind::Instances, At.Now_,
                              Parts_.FleetOutput_);
}

void FleetLink::handle(const Step &At, const InstancesUnavailable &) {
  Parts_.Fleet_.noteUnavailable(fleet::SectionKind::Instances, At.Now_,
                                Parts_.FleetOutput_);
}

void FleetLink::handle(const Step &At, const PeerMessageReceived &Input) {
  Parts_.Fleet_.notePeerMessage(Input.Message_, At.Now_, Parts_.FleetOutput_);
}

void FleetLink::handle(const Step &At, const SectionsFetched &Input) {
  Parts_.Fleet_.noteSections(Input.PeerAddress_, Input.Reply_, At.Now_,
                             Parts_.FleetOutput_);
}

void FleetLink::handle(const Step &, const SectionsUnavailable &Input) {
  Parts_.Fleet_.noteSectionsUnavailable(Input.PeerAddress_);
}

void FleetLink::handle(const Step &At, const SectionsRequested &Input) {
  At.Output_.push_back(ServeSections{
      Input.Request_, Parts_.Fleet_.serveSections(Input.Wanted_)});
}

void FleetLink::handle(const Step &At, const RecordsRead &Input) {
  Parts_.Fleet_.noteAllRecords(Input.Records_, Input.AsOf_, At.Now_,
                               Parts_.FleetOutput_);
}

void FleetLink::handle(const Step &At, const RecordsChanged &Input) {
  Parts_.Fleet_.noteChangedRecords(Input.Records_, Input.AsOf_, At.Now_,
                                   Parts_.FleetOutput_);
}

void FleetLink::handle(const Step &At, const RecordHistoryLost &) {
  Parts_.Fleet_.noteHistoryLost(At.Now_, Parts_.FleetOutput_);
}

void FleetLink::handle(const Step &At, const RecordsUnavailable &) {
  Parts_.Fleet_.noteRecordsUnavailable(At.Now_, Parts_.FleetOutput_);
}

void FleetLink::handle(const Step &, const SeedsChanged &Input) {
  Parts_.Fleet_.setSeeds(Input.Addresses_);
}

void FleetLink::carryOut(const Step &At) {
  while (!Parts_.FleetOutput_.empty()) {
    const fleet::OutputList Asked = std::exchange(Parts_.FleetOutput_, {});
    for (const fleet::Output &One : Asked)
      std::visit([&](const auto &Kind) { apply(At, Kind); }, One);
  }
}

void FleetLink::apply(const Step &At, const fleet::DocumentInForce &Asked) {
  Keeper_.setDocument(At, *Parts_.Fleet_.currentDocument());
  report(At, ChangeKind::DocumentInForce,
         std::to_string(Asked.Revision_.value()));
}

void FleetLink::apply(const Step &At, const fleet::DocumentRejected &Asked) {
  ++Parts_.Counters_.DocumentsRejected_;
  report(At, ChangeKind::DocumentRejected,
         std::to_string(Asked.Revision_.value()));
}

void FleetLink::apply(const Step &, const fleet::LoadShared &Asked) {
  if (const auto Target = Parts_.Environment_.findTarget(Asked.Target_))
    Parts_.Targets_.recordReport(*Target, Asked.Report_, Asked.SeenAt_);
}

void FleetLink::apply(const Step &At, const fleet::OlderIgnored &Asked) {
  ++Parts_.Counters_.DocumentsOlderIgnored_;
  report(At, ChangeKind::DocumentOlderIgnored,
         std::to_string(Asked.Revision_.value()));
}

void FleetLink::apply(const Step &At, const fleet::FetchSections &Asked) {
  At.Output_.push_back(FetchSections{Asked.PeerAddress_, Asked.Request_});
}

void FleetLink::apply(const Step &At, const fleet::InstancesChanged &) {
  std::vector<document::PublishedInstance> All =
      Parts_.Fleet_.publishedTargets();
  const auto Peers = Parts_.Fleet_.publishedPeers();
  All.insert(All.end(), Peers.begin(), Peers.end());
  Keeper_.setInstances(At, std::move(All));
}

void FleetLink::apply(const Step &At, const fleet::SharesChanged &) {
  Keeper_.applyShares(At);
}

void FleetLink::apply(const Step &At, const fleet::KeptAnswerExpired &Asked) {
  At.Output_.push_back(DropKeptAnswer{Asked.Call_});
}

void FleetLink::apply(const Step &At, const fleet::KeyDecided &Asked) {
  Keyed_.handle(At, Asked);
}

void FleetLink::apply(const Step &At, const fleet::PeerChanged &Asked) {
  if (Asked.IsHeard_)
    Parts_.HeardPeers_.insert(Asked.Peer_);
  else
    Parts_.HeardPeers_.erase(Asked.Peer_);
  report(At, Asked.IsHeard_ ? ChangeKind::PeerJoined : ChangeKind::PeerLost,
         Asked.Peer_.value());
}

void FleetLink::apply(const Step &At, const fleet::ReadPublished &Asked) {
  if (Asked.Kind_ == fleet::SectionKind::Document)
    At.Output_.push_back(ReadDocument{Asked.NewerThan_, Asked.Wait_});
  else
    At.Output_.push_back(ReadInstances{Asked.NewerThan_, Asked.Wait_});
}

void FleetLink::apply(const Step &At, const fleet::ReadRecords &Asked) {
  At.Output_.push_back(ReadRecords{Asked.After_, Asked.Wait_, Asked.MayBeOld_});
}

void FleetLink::apply(const Step &At, const fleet::RecordRejected &Asked) {
  report(At, ChangeKind::RecordRejected, Asked.Key_ + ": " + Asked.Reason_);
}

void FleetLink::apply(const Step &At, const fleet::TargetsChanged &) {
  Keeper_.setStoredTargets(At, Parts_.Fleet_.storedTargets());
}

void FleetLink::apply(const Step &At, const fleet::SendMessage &Asked) {
  At.Output_.push_back(SendPeerMessage{Asked.PeerAddress_, Asked.Message_});
}

void FleetLink::apply(const Step &At, const fleet::Superseded &) {
  Stop_.request(At);
}

void FleetLink::apply(const Step &At, const fleet::TargetReportedCold &Asked) {
  const auto Target = Parts_.Environment_.findTarget(Asked.Target_);
  if (!Target)
    return;
  const bool IsNews =
      Parts_.Targets_.recordStartId(*Target, Asked.StartId_, At.now());
  if (!IsNews && !Parts_.Targets_.isCold(*Target))
    Parts_.Targets_.markCold(*Target, At.now());
}

void FleetLink::apply(const Step &At, const fleet::TargetReportedWarm &Asked) {
  if (const auto Target = Parts_.Environment_.findTarget(Asked.Target_))
    Parts_.Targets_.markWarm(*Target, At.now());
}

void FleetLink::apply(const Step &At, const fleet::ViewChanged &Asked) {
  report(At, Asked.IsFresh_ ? ChangeKind::ViewRestored : ChangeKind::ViewLost,
         Parts_.Settings_.Self_.value());
}

void FleetLink::report(const Step &At, ChangeKind Kind, std::string Subject) {
  At.Output_.push_back(ReportChange{Kind, std::move(Subject)});
}

} // namespace cranberryspool::decision
