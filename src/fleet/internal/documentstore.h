#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_DOCUMENTSTORE_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_DOCUMENTSTORE_H

#include "document/types/environmentdocument.h"
#include "fleet/internal/sectionset.h"
#include "fleet/internal/updateresult.h"

#include <optional>
#include <string>

namespace cranberryspool::fleet {

/// The current document. Its revision never decreases.
class DocumentStore {
public:
  UpdateResult updateFromText(framework::Revision Revision,
                              const std::string &Text);
  UpdateResult updateFromSections(const SectionReply &Reply);

  bool hasValue() const { return Current_.has_value(); }
  const document::EnvironmentDocument *current() const;
  framework::Revision revision() const { return Revision_; }
  /// Returns the newest revision that was parsed, whether it was valid or not.
  framework::Revision examinedRevision() const { return Examined_; }
  const SectionSet &sections() const { return Sections_; }

private:
  UpdateResult accept(framework::Revision Revision, const std::string &Text);

  std::optional<document::EnvironmentDocument> Current_;
  framework::Revision Revision_{};
  framework::Revision Examined_{};
  SectionSet Sections_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_DOCUMENTSTORE_H
