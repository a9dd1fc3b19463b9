#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_MATCHEDKIND_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_MATCHEDKIND_H

#include "calls/types/kindid.h"
#include "document/types/requestkind.h"
#include "framework/ids.h"

namespace cranberryspool::decision {

/// The kind of a request under the document in force. Valid until the next
/// document.
struct MatchedKind {
  framework::ServiceId Service_;
  calls::KindId Kind_;
  const document::RequestKind *Rules_ = nullptr;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_MATCHEDKIND_H
