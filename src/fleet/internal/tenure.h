#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_TENURE_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_TENURE_H

#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::fleet {

/// How an instance came to be the home of a subject.
struct Tenure {
  framework::Instant Since_;
  /// The members with which it began; absent when it began after a lapse.
  std::optional<framework::Digest> Digest_;
  /// The last revision of the list that held other members.
  framework::Revision RevisionBefore_;
  /// The home under the list before; empty when that list is not known.
  framework::InstanceName HomeBefore_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_TENURE_H
