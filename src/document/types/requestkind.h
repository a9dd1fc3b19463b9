#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_REQUESTKIND_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_REQUESTKIND_H

#include "document/types/urgency.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <string>

namespace cranberryspool::document {

/// A class of requests: the method and paths that identify it and the rules for
/// handling it.
struct RequestKind {
  framework::KindName Name_;
  std::string Method_;
  /// A path whose segments are literals, `*` (exactly one segment) or, at the
  /// end only, `**` (any number of segments).
  std::string PathPattern_;
  /// True when the request may be executed more than once.
  bool IsIdempotent_ = false;
  Urgency Urgency_ = Urgency::Ordinary;
  /// The time limit of a call when the caller does not set one.
  framework::Duration Deadline_{};
  /// True when a second attempt may start before the first one has ended;
  /// allowed for idempotent kinds only.
  bool IsHedgingAllowed_ = false;
  /// True when requests without a key are served although the environment has
  /// workspaces.
  bool IsAnonymousAllowed_ = false;

  friend bool operator==(const RequestKind &, const RequestKind &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_REQUESTKIND_H
