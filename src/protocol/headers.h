#ifndef CRANBERRYSPOOL_PROTOCOL_HEADERS_H
#define CRANBERRYSPOOL_PROTOCOL_HEADERS_H

#include <string_view>

/// The names of HTTP header fields, as callers, targets and instances use them.
namespace cranberryspool::protocol {

/// From callers: a UUID version 7 that makes repeats of one call recognisable
/// (draft-ietf-httpapi-idempotency-key-header).
inline constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";

/// From callers: RFC 9218; `u=0` to `u=2` is urgent, `u=3` and above ordinary.
inline constexpr std::string_view PriorityHeader = "Priority";

/// From callers and to targets: the time left for the answer in milliseconds.
inline constexpr std::string_view TimeoutHeader = "Request-Timeout-Ms";

/// From callers and to targets: how many calls stand above this one.
inline constexpr std::string_view DepthHeader = "Call-Depth";

/// From callers and to targets: 1 for a first attempt, 2 and above for a
/// repeat. Instances below a repeat do not retry.
inline constexpr std::string_view AttemptHeader = "Call-Attempt";

/// To targets, which echo it in the answer: tells late and crossed answers
/// from the awaited one.
inline constexpr std::string_view AttemptIdHeader = "Attempt-Id";

/// From targets: present with the value `true` when the request did not run.
inline constexpr std::string_view NotRunHeader = "Not-Run";

/// From targets: changes each time that the target starts.
inline constexpr std::string_view StartIdHeader = "Start-Id";

/// From targets: the load report as a JSON object with the members `inflight`,
/// `queued`, `slots`, `cold` and `draining`.
inline constexpr std::string_view LoadReportHeader = "Load-Report";

/// To callers: `answered`, `not-run`, `unknown` or `deadline`.
inline constexpr std::string_view EndingHeader = "Call-Ending";

/// To callers: the machine-readable reason of an ending other than `answered`.
inline constexpr std::string_view EndingReasonHeader = "Call-Ending-Reason";

} // namespace cranberryspool::protocol

#endif // CRANBERRYSPOOL_PROTOCOL_HEADERS_H
