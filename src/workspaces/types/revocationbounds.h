#ifndef CRANBERRYSPOOL_WORKSPACES_TYPES_REVOCATIONBOUNDS_H
#define CRANBERRYSPOOL_WORKSPACES_TYPES_REVOCATIONBOUNDS_H

#include "framework/time.h"

#include <chrono>

namespace cranberryspool::workspaces {

/// How soon a key that was withdrawn must stop working everywhere.
struct RevocationBounds {
  /// True when the limit also holds for instances that cannot read the store.
  bool IsStrict_ = false;
  /// The time from the publication of a document without the key.
  framework::Duration Limit_ = std::chrono::seconds(5);
};

} // namespace cranberryspool::workspaces

#endif // CRANBERRYSPOOL_WORKSPACES_TYPES_REVOCATIONBOUNDS_H
