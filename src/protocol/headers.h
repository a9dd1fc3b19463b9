#ifndef CRANBERRYSPOOL_PROTOCOL_HEADERS_H
#define CRANBERRYSPOOL_PROTOCOL_HEADERS_H

#include <string_view>

/// Names of the HTTP header fields that callers, targets and instances
/// exchange.
namespace cranberryspool::protocol {

/// From callers: a UUID version 7 that identifies a call and its repetitions
/// (draft-ietf-httpapi-idempotency-key-header).
inline constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";

/// From callers: the priority (RFC 9218). `u=0` to `u=2` are urgent, `u=3` and
/// above are ordinary.
inline constexpr std::string_view PriorityHeader = "Priority";

/// From callers and to targets: the remaining time for the response in
/// milliseconds.
inline constexpr std::string_view TimeoutHeader = "Request-Timeout-Ms";

/// From callers and to targets: the number of calls above this one in the call
/// chain.
inline constexpr std::string_view DepthHeader = "Call-Depth";

/// From callers and to targets: 1 for a first attempt, 2 and above for a retry.
/// Instances further down the call chain do not retry calls made by a retry.
inline constexpr std::string_view AttemptHeader = "Call-Attempt";

/// To targets, which echo it in the response: identifies the attempt, so that
/// late and mismatched responses are recognised.
inline constexpr std::string_view AttemptIdHeader = "Attempt-Id";

/// From targets: `true` when the request was not executed.
inline constexpr std::string_view NotRunHeader = "Not-Run";

/// From targets: an id that changes with each start of the target.
inline constexpr std::string_view StartIdHeader = "Start-Id";

/// From targets: the load report as a JSON object with the members `inflight`,
/// `queued`, `slots`, `cold` and `draining`.
inline constexpr std::string_view LoadReportHeader = "Load-Report";

/// To callers: the outcome of the call: `answered`, `not-run`, `unknown` or
/// `deadline`.
inline constexpr std::string_view EndingHeader = "Call-Ending";

/// To callers: the machine-readable reason of an outcome other than `answered`.
inline constexpr std::string_view EndingReasonHeader = "Call-Ending-Reason";

/// From callers: the key of their workspace, as a Bearer token (RFC 6750).
inline constexpr std::string_view AuthorizationHeader = "Authorization";

/// To targets: the name of the caller's workspace.
inline constexpr std::string_view WorkspaceHeader = "Workspace";

/// Between instances: the name and the incarnation, joined by a semicolon, of
/// the instance that forwards a call to another one.
inline constexpr std::string_view ForwardedByHeader = "Forwarded-By";

/// Between instances: the name of the workspace of a call that is forwarded;
/// the forwarding instance has checked its key.
inline constexpr std::string_view ForwardedWorkspaceHeader =
    "Cranberry-Workspace";

} // namespace cranberryspool::protocol

#endif // CRANBERRYSPOOL_PROTOCOL_HEADERS_H
