#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_VIEWLEAD_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_VIEWLEAD_H

#include "fleet/types/recordupdate.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::fleet {

/// The revision to which another instance has led the view, until the own store
/// states it.
class ViewLead {
public:
  void record(const RecordUpdate &Message, framework::Revision Reached,
              framework::Instant Now) {
    Last_ = Lead{Reached, Message.From_, Now};
  }
  /// Handles a revision that the own store has stated.
  void settle(framework::Revision Stated) {
    if (Last_ && Stated >= Last_->UpTo_)
      Last_.reset();
  }
  void clear() { Last_.reset(); }

  /// Returns true when the store of another sender, which answered it at
  /// `AnsweredAt` or later, has stated less than was known here by then.
  bool isContradictedBy(const RecordUpdate &Message,
                        framework::Instant AnsweredAt) const {
    return Last_ && Last_->By_ != Message.From_ &&
           Message.Age_ < RecordUpdate::MoreFollows &&
           Message.ToRevision_ < Last_->UpTo_ && AnsweredAt > Last_->At_;
  }

private:
  struct Lead {
    framework::Revision UpTo_;
    framework::InstanceName By_;
    framework::Instant At_{};
  };

  std::optional<Lead> Last_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_VIEWLEAD_H
