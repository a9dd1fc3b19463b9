#ifndef CRANBERRYSPOOL_QUOTAS_TYPES_WORKSPACELIMIT_H
#define CRANBERRYSPOOL_QUOTAS_TYPES_WORKSPACELIMIT_H

#include "framework/ids.h"

namespace cranberryspool::quotas {

/// The quota of a workspace over all instances. Only workspaces with a rate
/// above zero have one.
struct WorkspaceLimit {
  framework::WorkspaceName Workspace_;
  double RequestsPerSecond_ = 0;
  /// The number of requests that may exceed the rate at once.
  double Burst_ = 0;

  friend bool operator==(const WorkspaceLimit &,
                         const WorkspaceLimit &) = default;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_TYPES_WORKSPACELIMIT_H
