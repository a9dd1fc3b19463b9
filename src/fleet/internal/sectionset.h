#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SECTIONSET_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SECTIONSET_H

#include "document/types/documentsection.h"
#include "fleet/types/sectiondigest.h"
#include "fleet/types/sectionreply.h"
#include "fleet/types/sectionrequest.h"
#include "framework/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// The sections of one published value, sorted by name.
class SectionSet {
public:
  SectionSet() = default;
  explicit SectionSet(std::vector<document::DocumentSection> Sections);

  const std::vector<document::DocumentSection> &sections() const {
    return Sections_;
  }
  std::vector<SectionDigest> manifest() const;
  /// Returns a hash over all sections.
  framework::Digest digest() const { return Digest_; }

  /// Returns the manifest and the sections that the requester does not have.
  SectionReply reply(const SectionRequest &Request,
                     framework::Revision Revision) const;

  /// Returns the set described by a peer's reply, with unchanged sections taken
  /// from this set; nothing when a section is missing or does not match its
  /// digest.
  std::optional<SectionSet> merge(const SectionReply &Reply) const;

private:
  const document::DocumentSection *find(const std::string &Name) const;

  std::vector<document::DocumentSection> Sections_;
  framework::Digest Digest_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SECTIONSET_H
