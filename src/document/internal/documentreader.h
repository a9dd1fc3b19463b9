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

/// Builds an `EnvironmentDocument` from a JSON tree and validates its values
/// and the references between them.
class DocumentReader {
public:
  DocumentReader(const JsonTree &Tree, FaultCollector &Faults);

  /// Reads the whole document. The result must not be used if a fault was
  /// reported.
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
  /// Adds a name to the names of its scope, or reports it as a duplicate.
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
  /// The JSON pointers of the kinds in `PathsByMethod_`, indexed by the
  /// `KindPosition` under which they were inserted.
  std::vector<std::string> KindPointers_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_INTERNAL_DOCUMENTREADER_H
