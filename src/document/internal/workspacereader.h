#ifndef CRANBERRYSPOOL_DOCUMENT_INTERNAL_WORKSPACEREADER_H
#define CRANBERRYSPOOL_DOCUMENT_INTERNAL_WORKSPACEREADER_H

#include "document/faultcollector.h"
#include "document/types/jsonlocation.h"
#include "document/types/jsontree.h"
#include "document/types/workspace.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cranberryspool::document {

/// Reads the workspaces of a document. Its faults name the place and never show
/// a value, because a key may be found where a digest is expected.
class WorkspaceReader {
public:
  WorkspaceReader(const JsonTree &Tree, FaultCollector &Faults);

  /// Reads the list `workspaces` of the document, which must be an object.
  std::vector<Workspace> read();

private:
  Workspace readWorkspace(const JsonLocation &Location);
  WorkspaceQuota readQuota(const JsonLocation &Location);
  std::vector<KeyDigest>
  readDigests(const std::vector<JsonLocation> &Locations);
  void report(const JsonLocation &Location, FaultKind Kind,
              std::string Expected);

  const JsonTree &Tree_;
  FaultCollector &Faults_;
  std::set<std::string> Names_;
  /// The JSON pointer of each digest that was read.
  std::map<KeyDigest, std::string> DigestPointers_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_INTERNAL_WORKSPACEREADER_H
