#ifndef CRANBERRYSPOOL_DOCUMENT_INTERNAL_WORKSPACESECTION_H
#define CRANBERRYSPOOL_DOCUMENT_INTERNAL_WORKSPACESECTION_H

#include <boost/json/value.hpp>

#include <vector>

namespace cranberryspool::document {

struct Workspace;

/// Returns the content of the section `workspaces`.
boost::json::value workspacesToJson(const std::vector<Workspace> &Workspaces);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_INTERNAL_WORKSPACESECTION_H
