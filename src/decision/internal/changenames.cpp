#include "decision/changenames.h"

namespace cranberryspool::decision {

std::string_view nameOf(ChangeKind Kind) {
  switch (Kind) {
  case ChangeKind::DocumentInForce:
    return "document-in-force";
  case ChangeKind::DocumentRejected:
    return "document-rejected";
  case ChangeKind::DocumentOlderIgnored:
    return "document-older-ignored";
  case ChangeKind::RecordRejected:
    return "record-rejected";
  case ChangeKind::TargetEjected:
    return "target-ejected";
  case ChangeKind::TargetRestored:
    return "target-restored";
  case ChangeKind::TargetCold:
    return "target-cold";
  case ChangeKind::TargetWarm:
    return "target-warm";
  case ChangeKind::TargetLeaving:
    return "target-leaving";
  case ChangeKind::TargetLimited:
    return "target-limited";
  case ChangeKind::TargetLimitLifted:
    return "target-limit-lifted";
  case ChangeKind::TargetCrashed:
    return "target-crashed";
  case ChangeKind::RequestSuspected:
    return "request-suspected";
  case ChangeKind::RequestQuarantined:
    return "request-quarantined";
  case ChangeKind::RequestCleared:
    return "request-cleared";
  case ChangeKind::ZoneOut:
    return "zone-out";
  case ChangeKind::ZoneIn:
    return "zone-in";
  case ChangeKind::PeerJoined:
    return "peer-joined";
  case ChangeKind::PeerLost:
    return "peer-lost";
  case ChangeKind::PeerAdmitted:
    return "peer-admitted";
  case ChangeKind::PeerNotConfirmed:
    return "peer-not-confirmed";
  case ChangeKind::PeerMessageRejected:
    return "peer-message-rejected";
  case ChangeKind::TargetsUnreachable:
    return "targets-unreachable";
  case ChangeKind::TargetsReachable:
    return "targets-reachable";
  case ChangeKind::ViewBehind:
    return "view-behind";
  case ChangeKind::ViewCaughtUp:
    return "view-caught-up";
  case ChangeKind::StoreUnavailable:
    return "store-unavailable";
  case ChangeKind::StoreAvailable:
    return "store-available";
  case ChangeKind::StoreReadSlow:
    return "store-read-slow";
  case ChangeKind::StoreReadPartial:
    return "store-read-partial";
  case ChangeKind::StoreReadIncomplete:
    return "store-read-incomplete";
  case ChangeKind::StoreChangesFound:
    return "store-changes-found";
  case ChangeKind::UpdatesOverdue:
    return "updates-overdue";
  case ChangeKind::DatagramsLost:
    return "datagrams-lost";
  case ChangeKind::TargetDraining:
    return "target-draining";
  case ChangeKind::TargetRemoved:
    return "target-removed";
  case ChangeKind::TargetRemovalDeferred:
    return "target-removal-deferred";
  case ChangeKind::ViewLost:
    return "view-lost";
  case ChangeKind::ViewRestored:
    return "view-restored";
  case ChangeKind::PauseDetected:
    return "pause-detected";
  case ChangeKind::StopStarted:
    return "stop-started";
  case ChangeKind::StopFinished:
    return "stop-finished";
  }
  return "other";
}

} // namespace cranberryspool::decision
