#ifndef CRANBERRYSPOOL_DOCUMENT_INTERNAL_DOCUMENTREADER_H
#define CRANBERRYSPOOL_DOCUMENT_INTERNAL_DOCUMENTREADER_H

#include "document/faultcollector.h"
#include "document/internal/pathtrie.h"
#include "document/objectreader.h"
#include "document/types/environmentdocument.h"
#include "document/types/jsontree.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryspool::document {

/// Reads the value types of a document from a JSON tree and checks what holds
/// between them.
class DocumentReader {
public:
  DocumentReader(const JsonTree &Tree, FaultCollector &Faults);

  /// Reads the whole document. Its value means nothing after a fault.
  EnvironmentDocument read();

private:
  Zone readZone(const JsonLocation &Location);
  Service readService(const JsonLocation &Location);
  RequestKind readKind(const JsonLocation &Location);
  TargetGroup readGroup(const JsonLocation &Location);
  Objective readObjective(const JsonLocation &Location);
  ColdStartLimits readColdStart(const JsonLocation &Location,
                                std::uint32_t Slots);
  void checkMethod(ObjectReader &Reader, const std::string &Method);
  void checkPath(ObjectReader &Reader, const RequestKind &Kind,
                 const std::string &Pointer);
  /// Reports a name that was used before in its scope.
  void checkUnique(ObjectReader &Reader, std::string_view Key,
                   std::set<std::string> &Names, const std::string &Name);

  const JsonTree &Tree_;
  FaultCollector &Faults_;
  std::uint32_t MaxInstances_ = 1;
  std::set<std::string> ZoneNames_;
  std::set<std::string> ServiceNames_;
  std::set<std::string> GroupNames_;
  std::set<std::string> KindNames_;
  std::set<std::string> ObjectiveUrgencies_;
  std::map<std::string, PathTrie> PathsByMethod_;
  /// The pointers to the kinds in `PathsByMethod_`, by their position there.
  std::vector<std::string> KindPointers_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_INTERNAL_DOCUMENTREADER_H
