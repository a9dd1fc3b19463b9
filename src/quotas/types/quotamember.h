#ifndef CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAMEMBER_H
#define CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAMEMBER_H

#include "framework/ids.h"

#include <string>

namespace cranberryspool::quotas {

/// Another instance that is believed to run.
struct QuotaMember {
  framework::InstanceName Name_;
  framework::Incarnation Incarnation_;
  /// The address for messages, `IP:port`.
  std::string Address_;

  friend bool operator==(const QuotaMember &, const QuotaMember &) = default;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAMEMBER_H
