#include "document/internal/workspacesection.h"

#include "document/keydigesttext.h"
#include "document/types/workspace.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace cranberryspool::document {

namespace {

namespace json = boost::json;

json::object workspaceToJson(const Workspace &Declared) {
  json::array Digests;
  for (const KeyDigest &Each : Declared.KeyDigests_)
    Digests.push_back(json::string("sha256:" + digestText(Each)));
  json::object Result{{"name", json::string(Declared.Name_.value())},
                      {"key-digests", std::move(Digests)}};
  if (Declared.Priority_)
    Result["priority"] = *Declared.Priority_;
  if (Declared.Quota_ != WorkspaceQuota())
    Result["quota"] = {
        {"requests-per-second", Declared.Quota_.RequestsPerSecond_},
        {"burst", Declared.Quota_.Burst_}};
  return Result;
}

} // namespace

json::value workspacesToJson(const std::vector<Workspace> &Workspaces) {
  json::array Result;
  for (const Workspace &Each : Workspaces)
    Result.push_back(workspaceToJson(Each));
  return Result;
}

} // namespace cranberryspool::document
