#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_READRECORDS_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_READRECORDS_H

#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::fleet {

/// Read all entries of the platform's store, or watch it for changes after a
/// revision.
struct ReadRecords {
  std::optional<framework::Revision> After_;
  /// How long the store may hold the answer back while nothing changes.
  framework::Duration Wait_{};
  /// The entries may be as they were seconds ago, which costs the store less.
  bool IsStaleAllowed_ = false;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_READRECORDS_H
