#ifndef CRANBERRYSPOOL_WORKSPACES_TYPES_CREDENTIAL_H
#define CRANBERRYSPOOL_WORKSPACES_TYPES_CREDENTIAL_H

#include "document/types/keydigest.h"

namespace cranberryspool::workspaces {

/// What the `Authorization` fields of a request contain.
enum class CredentialState {
  /// There is no such field.
  Absent,
  /// The field names another scheme than Bearer.
  OtherScheme,
  /// The field is repeated, empty, too long or not a Bearer token.
  Malformed,
  /// The field contains a key.
  Presented,
};

/// The credential of a request. The key itself is not kept.
struct Credential {
  CredentialState State_ = CredentialState::Absent;
  /// The digest of the key; meaningful only when a key was presented.
  document::KeyDigest Digest_;

  friend bool operator==(const Credential &, const Credential &) = default;
};

} // namespace cranberryspool::workspaces

#endif // CRANBERRYSPOOL_WORKSPACES_TYPES_CREDENTIAL_H
