#ifndef CRANBERRYSPOOL_ENTRY_TYPES_HTTPPROFILE_H
#define CRANBERRYSPOOL_ENTRY_TYPES_HTTPPROFILE_H

#include "routing/types/loadreport.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryspool::entry {

/// The header fields and status codes used between callers, instances and
/// targets in one deployment. A field with an empty name is not used there.
struct HttpProfile {
  /// From callers: the urgency of the call (RFC 9218).
  std::string UrgencyField_;
  /// From callers: the idempotency key, equal for all repeats of one call.
  std::string IdempotencyKeyField_;
  /// From callers and to targets: the time left for the response, in
  /// milliseconds.
  std::string TimeoutField_;
  /// From callers and to targets: the number of calls above this one in the
  /// call chain.
  std::string DepthField_;
  /// From callers and to targets: the attempt number, above 1 for a repeat.
  std::string AttemptNumberField_;
  /// To targets, which echo it: the id of the attempt.
  std::string AttemptIdField_;
  /// True when the attempt id is the caller's and is forwarded unchanged in
  /// both directions.
  bool IsCallerAttemptIdUsed_ = false;
  /// To targets: the name of the target that the request is meant for.
  std::string ExpectedTargetField_;
  /// From targets: the name of the responding target.
  std::string TargetIdField_;
  /// The status of a target that received a request meant for another one; 0
  /// when there is no such status.
  unsigned MisdirectedStatus_ = 0;
  /// From targets: present when the request was not executed.
  std::string NotRunField_;
  /// The value of `NotRunField_` that means that the request was not executed;
  /// empty when any value does.
  std::string NotRunValue_;
  /// From targets: an id that changes with each start of the target.
  std::string StartIdField_;
  /// From targets: a report of their load.
  std::string LoadReportField_;
  /// Parses a load report; returns nothing when it is invalid.
  std::function<std::optional<routing::LoadReport>(std::string_view)>
      ReadLoadReport_;
  /// From callers: the key of their workspace, as a Bearer token (RFC 6750).
  std::string AuthorizationField_;
  /// To targets: the name of the caller's workspace.
  std::string WorkspaceField_;
  /// From targets to probes: the warm-up time left, in milliseconds.
  std::string WarmupField_;
  /// From targets: the requests per second that the target accepts from all
  /// instances together, as a decimal number.
  std::string RequestLimitField_;
  /// The path of probes when the document names none.
  std::string ProbePath_;
  /// True when a probe's response carries the load report in a header field
  /// rather than in its body.
  bool IsProbeReportInHeader_ = false;
  /// From targets: a successful response without this field does not come from
  /// the target.
  std::string SignatureField_;
  /// True when a response body may be delimited by the close of its connection
  /// (RFC 9112, section 6.3).
  bool IsCloseDelimitedBodyAllowed_ = false;
  /// To callers: the way in which the call ended.
  std::string EndingField_;
  /// To callers: the reason for which the call ended in that way.
  std::string EndingReasonField_;
  /// True when callers accept fractions of a second in `Retry-After`.
  bool IsRetryAfterFractional_ = false;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_HTTPPROFILE_H
