#ifndef CRANBERRYSPOOL_FLEET_TYPES_MEMBERINFO_H
#define CRANBERRYSPOOL_FLEET_TYPES_MEMBERINFO_H

#include "framework/ids.h"
#include "framework/time.h"

#include <string>

namespace cranberryspool::fleet {

/// An instance that the sender of a gossip message knows, directly or through
/// other instances.
struct MemberInfo {
  framework::InstanceName Name_;
  framework::Incarnation Incarnation_;
  framework::ZoneName Zone_;
  /// The address, as `IP:port`, for messages between instances.
  std::string Address_;
  /// The time since an instance last received a message from this one.
  framework::Duration Age_{};

  friend bool operator==(const MemberInfo &, const MemberInfo &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_MEMBERINFO_H
