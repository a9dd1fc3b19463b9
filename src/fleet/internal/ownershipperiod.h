#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_OWNERSHIPPERIOD_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_OWNERSHIPPERIOD_H

#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::fleet {

/// A period in which an instance owns a subject, and how it began.
struct OwnershipPeriod {
  framework::Instant Since_;
  /// The members with which the period began; absent when it began after
  /// ownership was invalidated.
  std::optional<framework::Digest> Digest_;
  /// The last revision of the list that had other members.
  framework::Revision PreviousRevision_;
  /// The owner under the previous list; empty when that list is unknown.
  framework::InstanceName PreviousOwner_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_OWNERSHIPPERIOD_H
