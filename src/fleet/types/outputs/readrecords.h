#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_READRECORDS_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_READRECORDS_H

#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::fleet {

/// Requests a read of all records of the platform's metadata store or, when
/// `After_` is set, of the changes after that revision. At most one read of
/// each kind is under way at a time; they do not wait for each other.
struct ReadRecords {
  std::optional<framework::Revision> After_;
  /// The longest time for which the store may wait for a change before it
  /// answers.
  framework::Duration Wait_{};
  /// The time limit of each response, besides `Wait_`.
  framework::Duration TimeLimit_{};
  /// Whether the records may be seconds old, which costs the store less.
  bool IsStaleAllowed_ = false;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_READRECORDS_H
