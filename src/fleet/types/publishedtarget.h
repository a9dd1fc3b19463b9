#ifndef CRANBERRYSPOOL_FLEET_TYPES_PUBLISHEDTARGET_H
#define CRANBERRYSPOOL_FLEET_TYPES_PUBLISHEDTARGET_H

#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <string>

namespace cranberryspool::fleet {

/// A target as registered by itself in the platform's metadata store.
struct PublishedTarget {
  framework::TargetName Name_;
  framework::ServiceName Service_;
  framework::ZoneName Zone_;
  /// `IP:port`.
  std::string Address_;
  std::uint32_t Slots_ = 1;
  bool IsDraining_ = false;
  /// How long the target stays cold, counted from when it wrote the record.
  framework::Duration WarmupLeft_{};
  /// Of two records with the same name, the one with the later start is newer;
  /// with equal starts, the one with the higher sequence number.
  framework::Incarnation Start_;
  std::uint64_t Sequence_ = 0;
  /// True when its record is missing from the store, which may have lost it in
  /// an outage.
  bool IsUnconfirmed_ = false;

  friend bool operator==(const PublishedTarget &,
                         const PublishedTarget &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_PUBLISHEDTARGET_H
