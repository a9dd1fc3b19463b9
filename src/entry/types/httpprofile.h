#ifndef CRANBERRYSPOOL_ENTRY_TYPES_HTTPPROFILE_H
#define CRANBERRYSPOOL_ENTRY_TYPES_HTTPPROFILE_H

#include "routing/types/loadreport.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryspool::entry {

/// The header fields and status codes by which callers, instances and targets
/// understand each other. A field with an empty name is not spoken.
struct HttpProfile {
  /// From callers: how urgent the call is (RFC 9218).
  std::string UrgencyField_;
  /// From callers: makes repeats of one call recognisable.
  std::string KeyField_;
  /// From callers and to targets: the time left for the answer, milliseconds.
  std::string TimeoutField_;
  /// From callers and to targets: how many calls stand above this one.
  std::string DepthField_;
  /// From callers and to targets: above 1 for a repeat.
  std::string RepeatField_;
  /// To targets, which echo it.
  std::string AttemptIdField_;
  /// True when the id is the caller's and passes through unchanged, both ways.
  bool IsCallerAttemptIdUsed_ = false;
  /// To targets: the name of the target that is meant.
  std::string ExpectedTargetField_;
  /// From targets: their own name.
  std::string TargetIdField_;
  /// The status with which another target refuses what is not meant for it.
  unsigned MisdirectedStatus_ = 0;
  /// From targets: present when the request did not run.
  std::string NotRunField_;
  /// The value that counts; empty when any does.
  std::string NotRunValue_;
  /// From targets: changes each time that the target starts.
  std::string StartIdField_;
  std::string LoadReportField_;
  std::function<std::optional<routing::LoadReport>(std::string_view)>
      ReadLoadReport_;
  /// From targets to probes: how long they stay cold, milliseconds.
  std::string WarmupField_;
  /// Where targets answer probes when the document does not say.
  std::string ProbePath_;
  /// True when the answer to a probe has the load report in its head.
  bool IsProbeReportInHeader_ = false;
  /// From targets: a success without it is no answer of theirs.
  std::string SignatureField_;
  /// True when an answer without a length may end with its connection.
  bool IsCloseDelimitedBodyAllowed_ = false;
  /// To callers: how the call ended, and why.
  std::string EndingField_;
  std::string EndingReasonField_;
  /// True when callers read fractions of a second in `Retry-After`.
  bool IsRetryAfterFractional_ = false;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_HTTPPROFILE_H
