#ifndef CRANBERRYSPOOL_CALLS_TYPES_ENDINGREASON_H
#define CRANBERRYSPOOL_CALLS_TYPES_ENDINGREASON_H

namespace cranberryspool::calls {

/// The reason why a call ended without the response of a target.
enum class EndingReason {
  None,
  NoSuchKind,
  NoTarget,
  QueueFull,
  DeadlineTooShort,
  DeadlinePassed,
  Overloaded,
  Shed,
  ConnectFailed,
  ConnectionLost,
  ConnectionSilent,
  AnswerTruncated,
  AnswerMismatched,
  ViewTooOld,
  InstanceStopping,
  KeyInvalid,
  KeyInProgress,
  KeyTooOld,
  KeyHomeUnreachable,
  KeyAnswerGone,
  RetriesExhausted,
  RequestQuarantined,
  TargetsUnreachable,
  ForwarderUnknown,
  CallerGone,
  /// The request carries no key or one that no workspace has.
  Unauthenticated,
  /// The configuration is not known, or is too old to tell whether the key is
  /// valid.
  AccessUnconfirmed,
  /// The workspace has used its quota.
  OverQuota,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_ENDINGREASON_H
