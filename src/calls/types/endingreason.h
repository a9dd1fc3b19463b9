#ifndef CRANBERRYSPOOL_CALLS_TYPES_ENDINGREASON_H
#define CRANBERRYSPOOL_CALLS_TYPES_ENDINGREASON_H

namespace cranberryspool::calls {

/// Why a call ended otherwise than with a target's answer.
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
  CallerGone,
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_ENDINGREASON_H
