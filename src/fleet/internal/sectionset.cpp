#include "fleet/internal/sectionset.h"
#include "document/sections.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

SectionSet::SectionSet(std::vector<document::DocumentSection> Sections)
    : Sections_(std::move(Sections)) {
  std::sort(Sections_.begin(), Sections_.end(),
            [](const document::DocumentSection &Left,
               const document::DocumentSection &Right) {
              return Left.Name_ < Right.Name_;
            });
  Digest_ = document::digestOfSections(Sections_);
}

std::vector<SectionDigest> SectionSet::manifest() const {
  std::vector<SectionDigest> Manifest;
  Manifest.reserve(Sections_.size());
  for (const document::DocumentSection &Part : Sections_)
    Manifest.push_back(SectionDigest{Part.Name_, Part.Digest_});
  return Manifest;
}

SectionReply SectionSet::reply(const SectionRequest &Request,
                               framework::Revision Revision) const {
  SectionReply Reply;
  Reply.Kind_ = Request.Kind_;
  Reply.Revision_ = Revision;
  Reply.Manifest_ = manifest();
  for (const document::DocumentSection &Part : Sections_) {
    const SectionDigest Wanted{Part.Name_, Part.Digest_};
    const bool IsKnown = std::find(Request.Have_.begin(), Request.Have_.end(),
                                   Wanted) != Request.Have_.end();
    if (!IsKnown)
      Reply.Changed_.push_back(Part);
  }
  return Reply;
}

const document::DocumentSection *
SectionSet::find(const std::string &Name) const {
  const auto Position =
      std::lower_bound(Sections_.begin(), Sections_.end(), Name,
                       [](const document::DocumentSection &Part,
                          const std::string &Key) { return Part.Name_ < Key; });
  if (Position == Sections_.end() || Position->Name_ != Name)
    return nullptr;
  return &*Position;
}

std::optional<SectionSet> SectionSet::merge(const SectionReply &Reply) const {
  const SectionSet Changed(Reply.Changed_);
  std::vector<document::DocumentSection> Merged;
  Merged.reserve(Reply.Manifest_.size());
  for (const SectionDigest &Wanted : Reply.Manifest_) {
    const document::DocumentSection *Part = Changed.find(Wanted.Name_);
    if (Part && document::sectionDigest(Part->Text_) != Wanted.Digest_)
      return std::nullopt;
    if (!Part)
      Part = find(Wanted.Name_);
    if (!Part || Part->Digest_ != Wanted.Digest_)
      return std::nullopt;
    Merged.push_back(*Part);
  }
  return SectionSet(std::move(Merged));
}

} // namespace cranberryspool::fleet
