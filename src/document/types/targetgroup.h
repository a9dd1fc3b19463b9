#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_TARGETGROUP_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_TARGETGROUP_H

#include "framework/ids.h"

namespace cranberryspool::document {

/// A set of targets of one service in one availability zone. The platform's
/// list of instances assigns running targets to groups.
struct TargetGroup {
  framework::GroupName Name_;
  framework::ZoneName Zone_;

  friend bool operator==(const TargetGroup &, const TargetGroup &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_TARGETGROUP_H
