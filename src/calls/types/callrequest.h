#ifndef CRANBERRYSPOOL_CALLS_TYPES_CALLREQUEST_H
#define CRANBERRYSPOOL_CALLS_TYPES_CALLREQUEST_H

#include "calls/types/documentorigin.h"
#include "calls/types/kindid.h"
#include "calls/types/requestfingerprint.h"
#include "document/types/urgency.h"
#include "framework/ids.h"
#include "framework/time.h"
#include "workspaces/types/credential.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace cranberryspool::calls {

/// The properties of a call that are known when it is accepted.
struct CallRequest {
  framework::CallId Call_;
  framework::ServiceId Service_;
  KindId Kind_;
  document::Urgency Urgency_ = document::Urgency::Ordinary;
  /// The rank within the urgency class; 0 is served first.
  std::uint32_t Priority_ = 0;
  bool IsIdempotent_ = false;
  bool IsHedgingAllowed_ = false;
  framework::Instant Arrival_{};
  framework::Instant Deadline_{};
  /// The number of calls in the chain of calls that led to this one.
  std::uint32_t Depth_ = 0;
  /// The attempt number that the request arrived with: 1 unless an upstream
  /// instance retries the call.
  std::uint32_t AttemptNumber_ = 1;
  std::optional<framework::IdempotencyKey> Key_;
  /// The maximum number of targets to which the call may be sent.
  std::uint32_t MaxAttempts_ = 1;
  /// The latency objective of the call; zero when there is none.
  framework::Duration LatencyObjective_{};
  RequestFingerprint Fingerprint_ = {};
  /// The workspace that the call belongs to; nothing when it has none.
  std::optional<framework::WorkspaceId> Workspace_ = std::nullopt;
  /// The credential of the request and whether its route is open to requests
  /// without a key, so that access can be checked again.
  workspaces::Credential Credential_ = {};
  bool IsAnonymousAllowed_ = false;
  /// True when another instance has forwarded the call.
  bool IsFromPeer_ = false;
  /// Null before the first document is in force.
  std::shared_ptr<const DocumentOrigin> DecidedBy_ = nullptr;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_CALLREQUEST_H
