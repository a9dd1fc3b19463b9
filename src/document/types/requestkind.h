#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_REQUESTKIND_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_REQUESTKIND_H

#include "document/types/urgency.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <string>

namespace cranberryspool::document {

/// A kind of request: which requests belong to it and how they are treated.
struct RequestKind {
  framework::KindName Name_;
  std::string Method_;
  /// A path whose segments are literal, `*` (any one segment) or, at the end
  /// only, `**` (any rest).
  std::string PathPattern_;
  /// True when running the request again does no harm.
  bool IsIdempotent_ = false;
  Urgency Urgency_ = Urgency::Ordinary;
  /// The time in which the answer is due when the caller names none.
  framework::Duration Deadline_{};
  /// True when a second attempt may start before the first has ended; valid
  /// for idempotent kinds only.
  bool IsHedgingAllowed_ = false;

  friend bool operator==(const RequestKind &, const RequestKind &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_REQUESTKIND_H
