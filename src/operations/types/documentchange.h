#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_DOCUMENTCHANGE_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_DOCUMENTCHANGE_H

#include "operations/types/changecategory.h"
#include "operations/types/changeeffect.h"

#include <string>

namespace cranberryspool::operations {

/// One difference between two documents.
struct DocumentChange {
  ChangeCategory Category_ = ChangeCategory::Zones;
  /// The changed element, such as `certdesk/issue-certificate` or `zone yaba`.
  std::string Subject_;
  /// The changed key of the document; empty when the whole subject is added or
  /// removed.
  std::string Property_;
  /// The old value as written in the document; empty for an added subject.
  std::string Before_;
  /// The new value as written in the document; empty for a removed subject.
  std::string After_;
  ChangeEffect Effect_ = ChangeEffect::None;

  friend bool operator==(const DocumentChange &,
                         const DocumentChange &) = default;
};

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TYPES_DOCUMENTCHANGE_H
