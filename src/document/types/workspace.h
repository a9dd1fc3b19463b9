#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_WORKSPACE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_WORKSPACE_H

#include "document/types/keydigest.h"
#include "document/types/workspacequota.h"
#include "framework/ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cranberryspool::document {

/// A group of callers that share keys, a priority and a quota.
struct Workspace {
  framework::WorkspaceName Name_;
  /// The digests of the keys that identify the workspace's callers.
  std::vector<KeyDigest> KeyDigests_;
  /// Takes precedence over the priority of the route; 0 is the most urgent.
  std::optional<std::uint32_t> Priority_;
  WorkspaceQuota Quota_;

  friend bool operator==(const Workspace &, const Workspace &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_WORKSPACE_H
