#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_DOCUMENTSTORE_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_DOCUMENTSTORE_H

#include "document/types/environmentdocument.h"
#include "fleet/internal/offerresult.h"
#include "fleet/internal/sectionset.h"

#include <optional>
#include <string>

namespace cranberryspool::fleet {

/// The document in force, ordered by revision: it never goes back.
class DocumentStore {
public:
  OfferResult offerText(framework::Revision Revision, const std::string &Text);
  OfferResult offerSections(const SectionReply &Reply);

  bool hasValue() const { return Current_.has_value(); }
  const document::EnvironmentDocument *current() const;
  framework::Revision revision() const { return Revision_; }
  /// The newest revision that was judged, valid or not.
  framework::Revision judgedRevision() const { return Judged_; }
  const SectionSet &sections() const { return Sections_; }

private:
  OfferResult accept(framework::Revision Revision, const std::string &Text);

  std::optional<document::EnvironmentDocument> Current_;
  framework::Revision Revision_{};
  framework::Revision Judged_{};
  SectionSet Sections_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_DOCUMENTSTORE_H
