#ifndef CRANBERRYSPOOL_DECISION_TYPES_CHANGEKIND_H
#define CRANBERRYSPOOL_DECISION_TYPES_CHANGEKIND_H

namespace cranberryspool::decision {

/// The kinds of state changes that are logged.
enum class ChangeKind {
  DocumentInForce,
  DocumentRejected,
  DocumentOlderIgnored,
  RecordRejected,
  TargetEjected,
  TargetRestored,
  TargetCold,
  TargetWarm,
  TargetLeaving,
  TargetLimited,
  TargetLimitLifted,
  TargetCrashed,
  RequestSuspected,
  RequestQuarantined,
  RequestCleared,
  ZoneOut,
  ZoneIn,
  PeerJoined,
  PeerLost,
  PeerAdmitted,
  PeerNotConfirmed,
  PeerMessageRejected,
  TargetsUnreachable,
  TargetsReachable,
  ViewBehind,
  ViewCaughtUp,
  StoreUnavailable,
  StoreAvailable,
  StoreReadSlow,
  StoreReadPartial,
  StoreReadIncomplete,
  StoreChangesFound,
  ViewContradicted,
  ViewReplaced,
  UpdatesOverdue,
  DatagramsLost,
  TargetDraining,
  TargetRemoved,
  TargetRemovalDeferred,
  ViewLost,
  ViewRestored,
  PauseDetected,
  StopStarted,
  StopFinished,
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_CHANGEKIND_H
