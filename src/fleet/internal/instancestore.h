#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_INSTANCESTORE_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_INSTANCESTORE_H

#include "document/types/publishedinstance.h"
#include "fleet/internal/sectionset.h"
#include "fleet/internal/updateresult.h"

#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// The platform's list of instances. Its revision never decreases.
class InstanceStore {
public:
  UpdateResult
  updateFromList(framework::Revision Revision,
                 const std::vector<document::PublishedInstance> &Instances);
  UpdateResult updateFromSections(const SectionReply &Reply);

  bool hasValue() const { return HasValue_; }
  framework::Revision revision() const { return Revision_; }
  const SectionSet &sections() const { return Sections_; }
  /// Returns the instances of the load balancer, sorted by name.
  const std::vector<document::PublishedInstance> &members() const {
    return Members_;
  }
  /// Returns a hash of the members; equal for equal lists of members.
  framework::Digest membersDigest() const { return MembersDigest_; }
  /// Returns the published address of a member. The address in the member's own
  /// messages is used only until the list contains the member.
  const std::string &addressOf(const framework::InstanceName &Member,
                               const std::string &ReportedAddress) const;
  /// Returns the targets, sorted by name.
  const std::vector<document::PublishedInstance> &targets() const {
    return Targets_;
  }
  const document::PublishedInstance *
  findTarget(const framework::TargetName &Name) const;

private:
  UpdateResult accept(framework::Revision Revision, SectionSet Sections);

  bool HasValue_ = false;
  framework::Revision Revision_{};
  SectionSet Sections_;
  std::vector<document::PublishedInstance> Members_;
  framework::Digest MembersDigest_;
  std::vector<document::PublishedInstance> Targets_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_INSTANCESTORE_H
