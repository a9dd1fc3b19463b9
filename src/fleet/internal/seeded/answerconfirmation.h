#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_ANSWERCONFIRMATION_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_ANSWERCONFIRMATION_H

#include "fleet/internal/seeded/confirmedchanges.h"
#include "fleet/types/storedrecord.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <optional>
#include <set>
#include <vector>

namespace cranberryspool::fleet {

/// Decides up to which revision the answers to reads of changes are complete.
/// The revision that an answer states proves nothing: the next read continues
/// after the last change that was returned. Changes with contiguous revisions
/// are complete. How far apart the store counts the revisions of two changes is
/// not known, so that others are complete once a second read has returned no
/// change between them.
class AnswerConfirmation {
public:
  /// Handles the changes of an answer after `From`, which was valid at `At`.
  ConfirmedChanges recordAnswer(const std::vector<StoredRecord> &Changes,
                                framework::Revision From,
                                framework::Instant At);
  /// Returns true while changes are to be read a second time.
  bool isPending() const { return Unconfirmed_.has_value(); }

private:
  /// Changes that were returned once.
  struct Answer {
    framework::Revision Newest_;
    std::set<framework::Revision> Revisions_;
    framework::Instant At_{};
  };

  std::optional<Answer> Unconfirmed_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_ANSWERCONFIRMATION_H
