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
  for (const document::DocumentSection &Section : Sections_)
    Manifest.push_back(SectionDigest{Section.Name_, Section.Digest_});
  return Manifest;
}

SectionReply SectionSet::reply(const SectionRequest &Request,
                               framework::Revision Revision) const {
  SectionReply Reply;
  Reply.Kind_ = Request.Kind_;
  Reply.Revision_ = Revision;
  Reply.Manifest_ = manifest();
  for (const document::DocumentSection &Section : Sections_) {
    const SectionDigest Expected{Section.Name_, Section.Digest_};
    const bool IsKnown = std::find(Request.Have_.begin(), Request.Have_.end(),
                                   Expected) != Request.Have_.end();
    if (!IsKnown)
      Reply.Changed_.push_back(Section);
  }
  return Reply;
}

const document::DocumentSection *
SectionSet::find(const std::string &Name) const {
  const auto Position = std::lower_bound(
      Sections_.begin(), Sections_.end(), Name,
      [](const document::DocumentSection &Section, const std::string &Key) {
        return Section.Name_ < Key;
      });
  if (Position == Sections_.end() || Position->Name_ != Name)
    return nullptr;
  return &*Position;
}

std::optional<SectionSet> SectionSet::merge(const SectionReply &Reply) const {
  const SectionSet Changed(Reply.Changed_);
  std::vector<document::DocumentSection> Merged;
  Merged.reserve(Reply.Manifest_.size());
  for (const SectionDigest &Expected : Reply.Manifest_) {
    const document::DocumentSection *Section = Changed.find(Expected.Name_);
    if (Section && document::sectionDigest(Section->Text_) != Expected.Digest_)
      return std::nullopt;
    if (!Section)
      Section = find(Expected.Name_);
    if (!Section || Section->Digest_ != Expected.Digest_)
      return std::nullopt;
    Merged.push_back(*Section);
  }
  return SectionSet(std::move(Merged));
}

} // namespace cranberryspool::fleet
