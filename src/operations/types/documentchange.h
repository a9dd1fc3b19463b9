#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_DOCUMENTCHANGE_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_DOCUMENTCHANGE_H

#include "operations/types/changeconcern.h"
#include "operations/types/changeeffect.h"

#include <string>

namespace cranberryspool::operations {

/// One difference between two documents.
struct DocumentChange {
  ChangeConcern Concern_ = ChangeConcern::Zones;
  /// What changes, such as `certdesk/issue-certificate` or `zone yaba`.
  std::string Subject_;
  /// The key of the document; empty when the whole subject comes or goes.
  std::string Property_;
  /// The value as the document spells it; empty when there was none.
  std::string Before_;
  /// The value as the document spells it; empty when there is none.
  std::string After_;
  ChangeEffect Effect_ = ChangeEffect::None;

  friend bool operator==(const DocumentChange &,
                         const DocumentChange &) = default;
};

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TYPES_DOCUMENTCHANGE_H
