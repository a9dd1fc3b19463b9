#include "fleet/internal/documentstore.h"
#include "document/parsedocument.h"
#include "document/sections.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

const document::EnvironmentDocument *DocumentStore::current() const {
  return Current_ ? &*Current_ : nullptr;
}

UpdateResult DocumentStore::updateFromText(framework::Revision Revision,
                                           const std::string &Text) {
  if (Current_ && Revision < Revision_)
    return UpdateResult::Stale;
  if (Current_ && Revision == Revision_)
    return UpdateResult::Unchanged;
  return accept(Revision, Text);
}

UpdateResult DocumentStore::updateFromSections(const SectionReply &Reply) {
  if (Current_ && Reply.Revision_ < Revision_)
    return UpdateResult::Stale;
  if (Current_ && Reply.Revision_ == Revision_)
    return UpdateResult::Unchanged;
  const auto Merged = Sections_.merge(Reply);
  if (!Merged)
    return UpdateResult::Incomplete;
  return accept(Reply.Revision_, document::joinSections(Merged->sections()));
}

UpdateResult DocumentStore::accept(framework::Revision Revision,
                                   const std::string &Text) {
  Examined_ = std::max(Examined_, Revision);
  auto Parsed = document::parseDocument(Text);
  if (!Parsed)
    return UpdateResult::Rejected;
  Current_ = std::move(Parsed.value());
  Revision_ = Revision;
  Sections_ = SectionSet(document::splitDocument(*Current_));
  return UpdateResult::Accepted;
}

} // namespace cranberryspool::fleet
