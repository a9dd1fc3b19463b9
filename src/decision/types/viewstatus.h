#ifndef CRANBERRYSPOOL_DECISION_TYPES_VIEWSTATUS_H
#define CRANBERRYSPOOL_DECISION_TYPES_VIEWSTATUS_H

#include "fleet/types/storestatement.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <optional>
#include <string>

namespace cranberryspool::decision {

/// The revisions and the age of an instance's view of the published state.
struct ViewStatus {
  framework::Revision Document_;
  /// Where the document came from, as in `calls::DocumentOrigin`.
  std::string DocumentSource_{};
  /// The revision of the store at which the document was written.
  framework::Revision DocumentRecord_{};
  /// The revision of the platform's instance list or metadata store.
  framework::Revision Revision_;
  framework::Duration Age_{};
  /// What the store has last stated to this instance itself, where there is
  /// one.
  std::optional<fleet::StoreStatement> Store_ = std::nullopt;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_VIEWSTATUS_H
