#ifndef CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAREQUEST_H
#define CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAREQUEST_H

#include "framework/ids.h"
#include "quotas/types/fleetsize.h"

#include <cstdint>

namespace cranberryspool::quotas {

/// Asks another instance for credits of a workspace. Repeated unchanged until
/// it is answered; (incarnation, sequence) identifies it.
struct QuotaRequest {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  framework::WorkspaceName Workspace_;
  /// Increases with each new request of the sender.
  std::uint64_t Sequence_ = 0;
  /// True when the home instance asks a shareholder for its share; false when
  /// an instance asks the home instance.
  bool IsForShare_ = false;
  /// Millionths of a credit. A request for nothing asks whether the receiver
  /// answers.
  std::uint64_t Wanted_ = 0;
  /// Unused credits that go back to the home instance, in millionths.
  std::uint64_t Returned_ = 0;
  FleetSize Fleet_;

  friend bool operator==(const QuotaRequest &, const QuotaRequest &) = default;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAREQUEST_H
