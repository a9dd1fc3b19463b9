#ifndef CRANBERRYSPOOL_FLEET_TYPES_PUBLISHEDTARGET_H
#define CRANBERRYSPOOL_FLEET_TYPES_PUBLISHEDTARGET_H

#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <string>

namespace cranberryspool::fleet {

/// A target as it registered itself in the platform's store.
struct PublishedTarget {
  framework::TargetName Name_;
  framework::ServiceName Service_;
  framework::ZoneName Zone_;
  /// `IP:port`.
  std::string Address_;
  std::uint32_t Slots_ = 1;
  bool IsDraining_ = false;
  /// How long it stays cold, from when it wrote this.
  framework::Duration WarmupLeft_{};
  /// Of two entries of one name, the one with the later start is newer, and of
  /// one start the one with the higher sequence number.
  framework::Incarnation Start_;
  std::uint64_t Sequence_ = 0;

  friend bool operator==(const PublishedTarget &,
                         const PublishedTarget &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_PUBLISHEDTARGET_H
