#include "fleet/internal/seeded/answerconfirmation.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

using framework::Instant;
using framework::Revision;

namespace {

/// Returns the last revision up to which each one from `From` on is included.
Revision lastContiguous(const std::set<Revision> &Revisions, Revision From) {
  Revision Last = From;
  while (Revisions.contains(Revision(Last.value() + 1)))
    Last = Revision(Last.value() + 1);
  return Last;
}

} // namespace

ConfirmedChanges
AnswerConfirmation::recordAnswer(const std::vector<StoredRecord> &Changes,
                                 Revision From, Instant At) {
  Answer Latest{From, {}, At};
  for (const StoredRecord &Each : Changes)
    if (Each.Revision_ > From)
      Latest.Revisions_.insert(Each.Revision_);
  if (!Latest.Revisions_.empty())
    Latest.Newest_ = *Latest.Revisions_.rbegin();
  const Revision Contiguous = lastContiguous(Latest.Revisions_, From);
  const auto Earlier = std::exchange(Unconfirmed_, std::nullopt);
  const bool IsRepeated = Earlier && Earlier->Newest_ > From;
  const auto IsLeftOut = [&Earlier](Revision Each) {
    return Each <= Earlier->Newest_ && !Earlier->Revisions_.contains(Each);
  };
  if (IsRepeated && std::any_of(Latest.Revisions_.begin(),
                                Latest.Revisions_.end(), IsLeftOut))
    return {Contiguous, std::nullopt, true};
  if (Contiguous == Latest.Newest_ ||
      (IsRepeated && Earlier->Newest_ >= Latest.Newest_))
    return {Latest.Newest_, At, false};
  const ConfirmedChanges Result =
      IsRepeated ? ConfirmedChanges{std::max(Contiguous, Earlier->Newest_),
                                    Earlier->At_, false}
                 : ConfirmedChanges{Contiguous, std::nullopt, false};
  Unconfirmed_ = std::move(Latest);
  return Result;
}

} // namespace cranberryspool::fleet
