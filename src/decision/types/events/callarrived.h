#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CALLARRIVED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CALLARRIVED_H

#include "calls/types/requestfingerprint.h"
#include "decision/types/forwardinginstance.h"
#include "document/types/urgency.h"
#include "framework/ids.h"
#include "framework/time.h"
#include "workspaces/types/credential.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cranberryspool::decision {

/// The complete request of a caller was received.
struct CallArrived {
  framework::CallId Call_;
  std::string Method_;
  std::string Path_;
  /// The host named in the request; empty if request kinds do not depend on the
  /// host.
  std::string Host_ = {};
  /// The urgency requested by the caller; if absent, the document states it.
  std::optional<document::Urgency> Urgency_;
  /// The timeout requested by the caller; if absent, the document states it.
  std::optional<framework::Duration> Timeout_;
  std::optional<framework::IdempotencyKey> Key_;
  /// The number of calls above this one in the call chain.
  std::uint32_t Depth_ = 0;
  /// The number of the attempt at the caller; 1 for its first attempt.
  std::uint32_t Attempt_ = 1;
  /// The caller's key; used only where the document has workspaces.
  workspaces::Credential Credential_ = {};
  /// The workspace that the forwarding instance has authenticated; empty when
  /// there is none.
  framework::WorkspaceName ForwardedWorkspace_ = {};
  std::uint64_t BodyBytes_ = 0;
  calls::RequestFingerprint Fingerprint_ = {};
  /// Set when another instance has forwarded the call.
  std::optional<ForwardingInstance> ForwardedBy_ = std::nullopt;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_CALLARRIVED_H
