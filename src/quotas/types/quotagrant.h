#ifndef CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAGRANT_H
#define CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAGRANT_H

#include "framework/ids.h"
#include "framework/time.h"
#include "quotas/types/fleetsize.h"

#include <cstdint>

namespace cranberryspool::quotas {

/// The answer to a `QuotaRequest`.
struct QuotaGrant {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  /// The incarnation and sequence of the request.
  framework::Incarnation EchoIncarnation_;
  std::uint64_t EchoSequence_ = 0;
  framework::WorkspaceName Workspace_;
  /// Millionths of a credit; never more than was requested.
  std::uint64_t Granted_ = 0;
  /// The time until the sender expects to have another credit. No request is
  /// sent earlier.
  framework::Duration NextCreditIn_{};
  FleetSize Fleet_;

  friend bool operator==(const QuotaGrant &, const QuotaGrant &) = default;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAGRANT_H
