#include "entry/internal/unansweredreads.h"

#include <variant>

namespace cranberryspool::entry {

void UnansweredReads::end(const decision::Event &Outcome) {
  if (const auto *Failed = std::get_if<decision::RecordsUnavailable>(&Outcome))
    Kinds_.erase(Failed->Kind_);
  else if (std::holds_alternative<decision::RecordsRead>(Outcome))
    Kinds_.erase(fleet::ReadKind::AllRecords);
  else if (std::holds_alternative<decision::RecordsChanged>(Outcome) ||
           std::holds_alternative<decision::RecordHistoryLost>(Outcome))
    Kinds_.erase(fleet::ReadKind::Changes);
}

} // namespace cranberryspool::entry
