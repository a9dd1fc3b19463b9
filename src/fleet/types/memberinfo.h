#ifndef CRANBERRYSPOOL_FLEET_TYPES_MEMBERINFO_H
#define CRANBERRYSPOOL_FLEET_TYPES_MEMBERINFO_H

#include "framework/ids.h"
#include "framework/time.h"

#include <string>

namespace cranberryspool::fleet {

/// An instance that the sender of a greeting knows, heard by it or by others.
struct MemberInfo {
  framework::InstanceName Name_;
  framework::Incarnation Incarnation_;
  framework::ZoneName Zone_;
  std::string Address_;
  /// Since anybody heard it.
  framework::Duration Age_{};

  friend bool operator==(const MemberInfo &, const MemberInfo &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_MEMBERINFO_H
