#ifndef CRANBERRYSPOOL_WORKSPACES_TYPES_ACCESS_H
#define CRANBERRYSPOOL_WORKSPACES_TYPES_ACCESS_H

#include <cstddef>

namespace cranberryspool::workspaces {

/// How a request is treated because of its credential.
enum class AccessOutcome {
  /// The request is served without a workspace.
  Open,
  /// The request is served for its workspace.
  Granted,
  /// No workspace has the key, or the key is missing.
  Unauthenticated,
  /// The document in force is too old to tell.
  Unconfirmed,
};

/// The decision on the credential of a request.
struct Access {
  AccessOutcome Outcome_ = AccessOutcome::Open;
  /// The position of the workspace in the document; valid when granted.
  std::size_t Workspace_ = 0;

  friend bool operator==(const Access &, const Access &) = default;
};

} // namespace cranberryspool::workspaces

#endif // CRANBERRYSPOOL_WORKSPACES_TYPES_ACCESS_H
