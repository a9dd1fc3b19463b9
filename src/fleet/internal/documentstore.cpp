#include "fleet/internal/documentstore.h"
#include "document/parsedocument.h"
#include "document/sections.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

const document::EnvironmentDocument *DocumentStore::current() const {
  return Current_ ? &*Current_ : nullptr;
}

OfferResult DocumentStore::offerText(framework::Revision Revision,
                                     const std::string &Text) {
  if (Current_ && Revision < Revision_)
    return OfferResult::Older;
  if (Current_ && Revision == Revision_)
    return OfferResult::Unchanged;
  return accept(Revision, Text);
}

OfferResult DocumentStore::offerSections(const SectionReply &Reply) {
  if (Current_ && Reply.Revision_ < Revision_)
    return OfferResult::Older;
  if (Current_ && Reply.Revision_ == Revision_)
    return OfferResult::Unchanged;
  const auto Merged = Sections_.merge(Reply);
  if (!Merged)
    return OfferResult::Incomplete;
  return accept(Reply.Revision_, document::joinSections(Merged->sections()));
}

OfferResult DocumentStore::accept(framework::Revision Revision,
                                  const std::string &Text) {
  Judged_ = std::max(Judged_, Revision);
  auto Parsed = document::parseDocument(Text);
  if (!Parsed)
    return OfferResult::Rejected;
  Current_ = std::move(Parsed.value());
  Revision_ = Revision;
  Sections_ = SectionSet(document::splitDocument(*Current_));
  return OfferResult::Accepted;
}

} // namespace cranberryspool::fleet
