#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_WORKSPACEFIELDS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_WORKSPACEFIELDS_H

#include "entry/types/headerfield.h"
#include "entry/types/httpprofile.h"
#include "framework/ids.h"
#include "workspaces/types/credential.h"

#include <string_view>
#include <vector>

namespace cranberryspool::entry {

/// Removes all fields of the given name and returns them in their order. An
/// empty name matches none.
std::vector<HeaderField> takeFields(std::vector<HeaderField> &Fields,
                                    std::string_view Name);

/// Removes the fields by which a caller states its key or a workspace and
/// returns them. They go to a target only where the document has no workspaces.
std::vector<HeaderField> takeCredentialFields(std::vector<HeaderField> &Fields,
                                              const HttpProfile &Profile);

/// Reads the caller's credential from the fields of its request. There is none
/// where the profile has no field for it.
workspaces::Credential
readCallerCredential(const std::vector<HeaderField> &Fields,
                     const HttpProfile &Profile);

/// Removes the field by which another instance names the workspace of a call
/// that it forwards; returns an empty name when there is none or several.
framework::WorkspaceName
takeForwardedWorkspace(std::vector<HeaderField> &Fields);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_WORKSPACEFIELDS_H
