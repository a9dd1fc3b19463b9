#include "entry/internal/workspacefields.h"

#include "entry/internal/fieldtext.h"
#include "protocol/headers.h"
#include "workspaces/readcredential.h"

#include <algorithm>
#include <iterator>

namespace cranberryspool::entry {

std::vector<HeaderField> takeFields(std::vector<HeaderField> &Fields,
                                    std::string_view Name) {
  std::vector<HeaderField> Taken;
  if (Name.empty())
    return Taken;
  const auto Kept = std::stable_partition(
      Fields.begin(), Fields.end(), [Name](const HeaderField &Field) {
        return !equalsIgnoreCase(Field.Name_, Name);
      });
  Taken.assign(std::make_move_iterator(Kept),
               std::make_move_iterator(Fields.end()));
  Fields.erase(Kept, Fields.end());
  return Taken;
}

std::vector<HeaderField> takeCredentialFields(std::vector<HeaderField> &Fields,
                                              const HttpProfile &Profile) {
  std::vector<HeaderField> Taken =
      takeFields(Fields, Profile.AuthorizationField_);
  std::vector<HeaderField> Workspace =
      takeFields(Fields, Profile.WorkspaceField_);
  std::move(Workspace.begin(), Workspace.end(), std::back_inserter(Taken));
  return Taken;
}

workspaces::Credential
readCallerCredential(const std::vector<HeaderField> &Fields,
                     const HttpProfile &Profile) {
  std::vector<std::string_view> Values;
  for (const HeaderField &Field : Fields)
    if (!Profile.AuthorizationField_.empty() &&
        equalsIgnoreCase(Field.Name_, Profile.AuthorizationField_))
      Values.emplace_back(Field.Value_);
  return workspaces::readCredential(Values);
}

framework::WorkspaceName
takeForwardedWorkspace(std::vector<HeaderField> &Fields) {
  const std::vector<HeaderField> Taken =
      takeFields(Fields, protocol::ForwardedWorkspaceHeader);
  if (Taken.size() != 1)
    return framework::WorkspaceName();
  return framework::WorkspaceName(std::string(trimmed(Taken.front().Value_)));
}

} // namespace cranberryspool::entry
