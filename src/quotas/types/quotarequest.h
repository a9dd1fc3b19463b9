#ifndef CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAREQUEST_H
#define CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAREQUEST_H

#include "framework/ids.h"

#include <cstdint>
#include <string>

namespace cranberryspool::quotas {

/// Asks another instance for credits of a workspace. Repeated unchanged until
/// it is answered; (incarnation, sequence) identifies it.
struct QuotaRequest {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  /// The address for the answer.
  std::string Address_;
  framework::WorkspaceName Workspace_;
  /// Increases with each new request of the sender.
  std::uint64_t Sequence_ = 0;
  /// True when the home instance asks a shareholder for its share; false when
  /// an instance asks the home instance.
  bool IsForShare_ = false;
  /// Millionths of a credit.
  std::uint64_t Wanted_ = 0;

  friend bool operator==(const QuotaRequest &, const QuotaRequest &) = default;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAREQUEST_H
