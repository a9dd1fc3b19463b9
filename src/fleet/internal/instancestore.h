#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_INSTANCESTORE_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_INSTANCESTORE_H

#include "document/types/publishedinstance.h"
#include "fleet/internal/offerresult.h"
#include "fleet/internal/sectionset.h"

#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// The platform's list of instances, ordered by revision: it never goes back.
class InstanceStore {
public:
  OfferResult
  offerList(framework::Revision Revision,
            const std::vector<document::PublishedInstance> &Instances);
  OfferResult offerSections(const SectionReply &Reply);

  bool hasValue() const { return HasValue_; }
  framework::Revision revision() const { return Revision_; }
  const SectionSet &sections() const { return Sections_; }
  /// The instances of this system, sorted by name.
  const std::vector<document::PublishedInstance> &members() const {
    return Members_;
  }
  /// Equal when the members are equal.
  framework::Digest membersDigest() const { return MembersDigest_; }
  /// Returns the published address of a member; what it says of itself counts
  /// only until the list names it.
  const std::string &addressOf(const framework::InstanceName &Member,
                               const std::string &Claimed) const;
  /// The targets, sorted by name.
  const std::vector<document::PublishedInstance> &targets() const {
    return Targets_;
  }
  const document::PublishedInstance *
  findTarget(const framework::TargetName &Name) const;

private:
  OfferResult accept(framework::Revision Revision, SectionSet Sections);

  bool HasValue_ = false;
  framework::Revision Revision_{};
  SectionSet Sections_;
  std::vector<document::PublishedInstance> Members_;
  framework::Digest MembersDigest_;
  std::vector<document::PublishedInstance> Targets_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_INSTANCESTORE_H
