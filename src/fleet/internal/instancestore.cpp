#include "fleet/internal/instancestore.h"
#include "fleet/internal/instancesections.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

bool isNameLess(const document::PublishedInstance &Left,
                const document::PublishedInstance &Right) {
  return Left.Name_ < Right.Name_;
}

} // namespace

UpdateResult InstanceStore::updateFromList(
    framework::Revision Revision,
    const std::vector<document::PublishedInstance> &Instances) {
  if (HasValue_ && Revision < Revision_)
    return UpdateResult::Stale;
  if (HasValue_ && Revision == Revision_)
    return UpdateResult::Unchanged;
  return accept(Revision, SectionSet(splitInstances(Instances)));
}

UpdateResult InstanceStore::updateFromSections(const SectionReply &Reply) {
  if (HasValue_ && Reply.Revision_ < Revision_)
    return UpdateResult::Stale;
  if (HasValue_ && Reply.Revision_ == Revision_)
    return UpdateResult::Unchanged;
  auto Merged = Sections_.merge(Reply);
  if (!Merged)
    return UpdateResult::Incomplete;
  return accept(Reply.Revision_, std::move(*Merged));
}

UpdateResult InstanceStore::accept(framework::Revision Revision,
                                   SectionSet Sections) {
  std::vector<document::PublishedInstance> Members;
  std::vector<document::PublishedInstance> Targets;
  framework::Digest MembersDigest;
  for (const document::DocumentSection &Section : Sections.sections()) {
    auto Entries = parseInstanceSection(Section.Text_);
    if (!Entries)
      return UpdateResult::Rejected;
    const bool IsMemberSection = Section.Name_ == MembersSection;
    if (IsMemberSection)
      MembersDigest = Section.Digest_;
    std::vector<document::PublishedInstance> &Destination =
        IsMemberSection ? Members : Targets;
    Destination.insert(Destination.end(), Entries->begin(), Entries->end());
  }
  std::sort(Members.begin(), Members.end(), isNameLess);
  std::sort(Targets.begin(), Targets.end(), isNameLess);
  HasValue_ = true;
  Revision_ = Revision;
  Sections_ = std::move(Sections);
  Members_ = std::move(Members);
  MembersDigest_ = MembersDigest;
  Targets_ = std::move(Targets);
  return UpdateResult::Accepted;
}

const std::string &
InstanceStore::addressOf(const framework::InstanceName &Member,
                         const std::string &ReportedAddress) const {
  for (const document::PublishedInstance &Entry : Members_) {
    if (Entry.Name_ == Member)
      return Entry.Address_;
  }
  return ReportedAddress;
}

const document::PublishedInstance *
InstanceStore::findTarget(const framework::TargetName &Name) const {
  document::PublishedInstance SearchEntry;
  SearchEntry.Name_ = framework::InstanceName(Name.value());
  const auto Position = std::lower_bound(Targets_.begin(), Targets_.end(),
                                         SearchEntry, isNameLess);
  if (Position == Targets_.end() || Position->Name_ != SearchEntry.Name_)
    return nullptr;
  return &*Position;
}

} // namespace cranberryspool::fleet
