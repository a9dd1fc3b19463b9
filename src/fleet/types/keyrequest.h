#ifndef CRANBERRYSPOOL_FLEET_TYPES_KEYREQUEST_H
#define CRANBERRYSPOOL_FLEET_TYPES_KEYREQUEST_H

#include "framework/ids.h"

#include <string>

namespace cranberryspool::fleet {

/// Asks the owner of a key for permission to run a call. Resent until answered.
struct KeyRequest {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  std::string Address_;
  framework::CallId Call_;
  framework::IdempotencyKey Key_;

  friend bool operator==(const KeyRequest &, const KeyRequest &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_KEYREQUEST_H
