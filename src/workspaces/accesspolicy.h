#ifndef CRANBERRYSPOOL_WORKSPACES_ACCESSPOLICY_H
#define CRANBERRYSPOOL_WORKSPACES_ACCESSPOLICY_H

#include "framework/time.h"
#include "workspaces/keyindex.h"
#include "workspaces/types/access.h"
#include "workspaces/types/credential.h"
#include "workspaces/types/processsecret.h"
#include "workspaces/types/revocationbounds.h"

#include <optional>
#include <vector>

namespace cranberryspool::workspaces {

/// Decides which requests are served for which workspace, from the document in
/// force and the age of the view that it comes from. Without workspaces all
/// requests are open.
class AccessPolicy {
public:
  AccessPolicy(const RevocationBounds &Bounds, const ProcessSecret &Secret);

  /// Sets the workspaces of the document in force.
  void setWorkspaces(const std::vector<document::Workspace> &Workspaces);

  /// Returns true when the document in force has workspaces.
  bool isEnabled() const { return IsEnabled_; }

  /// Decides on a request that is about to be accepted or sent. `ViewAge` is
  /// the time since the store last confirmed the document; nothing when it has
  /// not been confirmed since the start of the process.
  Access decide(const Credential &Presented, bool IsAnonymousAllowed,
                std::optional<framework::Duration> ViewAge) const;

  /// Returns true when the view is recent enough to use a key that it contains.
  bool mayUseKeys(std::optional<framework::Duration> ViewAge) const;

private:
  RevocationBounds Bounds_;
  KeyIndex Keys_;
  bool IsEnabled_ = false;
};

} // namespace cranberryspool::workspaces

#endif // CRANBERRYSPOOL_WORKSPACES_ACCESSPOLICY_H
