#ifndef CRANBERRYSPOOL_OPERATIONS_INTERNAL_DOCUMENTDIFFER_H
#define CRANBERRYSPOOL_OPERATIONS_INTERNAL_DOCUMENTDIFFER_H

#include "document/types/environmentdocument.h"
#include "operations/types/documentchange.h"

#include <string>
#include <vector>

namespace cranberryspool::operations {

/// Compares two documents and collects their differences.
class DocumentDiffer {
public:
  DocumentDiffer(const document::EnvironmentDocument &Old,
                 const document::EnvironmentDocument &New);

  std::vector<DocumentChange> run();

private:
  void compareZones();
  void compareServices();
  void compareService(const document::Service &Old,
                      const document::Service &New);
  void compareLimits(const document::Service &Old,
                     const document::Service &New);
  void compareGroups(const document::Service &Old,
                     const document::Service &New);
  void compareKinds(const document::Service &Old, const document::Service &New);
  void compareKind(const std::string &Subject, const document::RequestKind &Old,
                   const document::RequestKind &New);
  void compareObjectives(const document::Service &Old,
                         const document::Service &New);
  void compareWorkspaces();
  void compareWorkspace(const document::Workspace &Old,
                        const document::Workspace &New);
  void compareKeys(const document::Workspace &Old,
                   const document::Workspace &New);
  void compareKeyRequirement();
  /// Returns the effect of keys that a workspace had and has.
  ChangeEffect keyEffect(const document::Workspace &Old,
                         const document::Workspace &New) const;
  void findServicesWithoutZone();
  bool hasZoneInService(const document::EnvironmentDocument &Document,
                        const document::Service &Candidate) const;
  void add(DocumentChange Change);
  /// Records a change when the two values differ.
  void compare(ChangeCategory Category, const std::string &Subject,
               const std::string &Property, std::string Before,
               std::string After, ChangeEffect Effect = ChangeEffect::None);

  const document::EnvironmentDocument &Old_;
  const document::EnvironmentDocument &New_;
  /// All keys of the documents, sorted. A key may move between workspaces.
  std::vector<document::KeyDigest> OldKeys_;
  std::vector<document::KeyDigest> NewKeys_;
  std::vector<DocumentChange> Changes_;
};

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_INTERNAL_DOCUMENTDIFFER_H
