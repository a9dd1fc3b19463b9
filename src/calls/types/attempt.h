#ifndef CRANBERRYSPOOL_CALLS_TYPES_ATTEMPT_H
#define CRANBERRYSPOOL_CALLS_TYPES_ATTEMPT_H

#include "calls/types/attemptkind.h"
#include "calls/types/attemptstate.h"
#include "calls/types/documentorigin.h"
#include "calls/types/kindid.h"
#include "calls/types/requestfingerprint.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <memory>

namespace cranberryspool::calls {

/// A live attempt of a call at one target.
struct Attempt {
  framework::AttemptId Attempt_;
  framework::CallId Call_;
  framework::ServiceId Service_;
  KindId RequestKind_;
  bool IsIdempotent_ = false;
  RequestFingerprint Fingerprint_ = {};
  framework::TargetId Target_;
  framework::ConnectionId Connection_;
  AttemptKind Kind_ = AttemptKind::First;
  AttemptState State_ = AttemptState::WaitingForConnection;
  /// The time at which the target was chosen.
  framework::Instant StartedAt_{};
  framework::Instant SentAt_{};
  /// True once the first byte of the response has arrived.
  bool HasAnswerBegun_ = false;
  /// As in `CallRequest`.
  std::shared_ptr<const DocumentOrigin> DecidedBy_ = nullptr;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_ATTEMPT_H
