#include "workspaces/accesspolicy.h"

#include "document/types/workspace.h"

#include <chrono>

namespace cranberryspool::workspaces {

namespace {

/// A key is used while the view is younger than this share of the revocation
/// limit. The rest covers the time that an answer of the store takes to arrive,
/// by which the view is older than its age says.
constexpr double UsableViewShare = 0.7;
/// A key that is not in the view is rejected only while the view is younger
/// than this, because a newer document may contain the key.
constexpr framework::Duration MaxViewAgeToReject =
    std::chrono::milliseconds(1500);

} // namespace

AccessPolicy::AccessPolicy(const RevocationBounds &Bounds,
                           const ProcessSecret &Secret)
    : Bounds_(Bounds), Keys_(Secret) {}

void AccessPolicy::setWorkspaces(
    const std::vector<document::Workspace> &Workspaces) {
  IsEnabled_ = !Workspaces.empty();
  Keys_.assign(Workspaces);
}

Access AccessPolicy::decide(const Credential &Presented,
                            bool IsAnonymousAllowed,
                            std::optional<framework::Duration> ViewAge) const {
  if (!IsEnabled_)
    return {AccessOutcome::Open};
  // No document can contain a malformed key.
  if (Presented.State_ == CredentialState::Malformed)
    return {AccessOutcome::Unauthenticated};
  const bool IsRejectable = ViewAge && *ViewAge < MaxViewAgeToReject;
  const Access Rejected{IsRejectable ? AccessOutcome::Unauthenticated
                                     : AccessOutcome::Unconfirmed};
  if (Presented.State_ != CredentialState::Presented)
    return IsAnonymousAllowed ? Access{AccessOutcome::Open} : Rejected;
  const auto Workspace = Keys_.find(Presented.Digest_);
  if (!Workspace)
    return Rejected;
  if (!mayUseKeys(ViewAge))
    return {AccessOutcome::Unconfirmed};
  return {AccessOutcome::Granted, *Workspace};
}

bool AccessPolicy::mayUseKeys(
    std::optional<framework::Duration> ViewAge) const {
  if (!Bounds_.IsStrict_)
    return true;
  return ViewAge && *ViewAge < std::chrono::duration_cast<framework::Duration>(
                                   Bounds_.Limit_ * UsableViewShare);
}

} // namespace cranberryspool::workspaces
