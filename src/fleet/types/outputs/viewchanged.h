#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_VIEWCHANGED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_VIEWCHANGED_H

#include "fleet/types/viewevent.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <optional>
#include <string>

namespace cranberryspool::fleet {

/// Reports an event in the replication of the platform's metadata store.
struct ViewChanged {
  /// The source of news that the platform's metadata store has answered.
  static constexpr const char *StoreSource = "store";

  ViewEvent Event_{};
  /// The affected target, the reason for which the store is unavailable, or
  /// what a read returned.
  std::string Subject_;
  /// `store`, or the name of the instance from which the news came.
  std::string Source_;
  /// The revision that other instances have announced.
  std::optional<framework::Revision> Announced_ = std::nullopt;
  /// How long the instance was behind, the store unavailable, or a read took.
  std::optional<framework::Duration> Elapsed_ = std::nullopt;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_VIEWCHANGED_H
