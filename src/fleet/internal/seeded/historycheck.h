#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_HISTORYCHECK_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_HISTORYCHECK_H

#include "framework/time.h"

#include <optional>

namespace cranberryspool::fleet {

/// Decides when all records are read because the store may have dropped changes
/// that nobody has read, without saying so. Unlike a contradiction, this leaves
/// the view as fresh as it is, and changes are read beside it.
class HistoryCheck {
public:
  /// Requires a read of all records that begins at `Now` or later.
  void require(framework::Instant Now) { Since_ = Now; }
  /// Requires another read soon, since the last one lacks records whose
  /// deletion is not known otherwise.
  void requireConfirmation(framework::Instant Now) {
    Since_ = Now;
    NextReadAt_ = Now + ConfirmationDelay;
  }
  bool isPending() const { return Since_.has_value(); }
  /// Returns true when a read of all records is to be started.
  bool isDue(framework::Instant Now) const {
    return Since_ && Now >= NextReadAt_;
  }
  /// Handles the start of a read of all records.
  void recordStart(framework::Instant Now) {
    NextReadAt_ = Now + MinReadInterval;
  }
  /// Handles the answer to a read of all records that began at `StartedAt`.
  void recordAnswer(framework::Instant StartedAt) {
    if (Since_ && StartedAt >= *Since_)
      Since_.reset();
  }

private:
  /// Watches may be cut again and again.
  static constexpr framework::Duration MinReadInterval =
      std::chrono::milliseconds(500);
  static constexpr framework::Duration ConfirmationDelay =
      std::chrono::milliseconds(50);

  std::optional<framework::Instant> Since_;
  framework::Instant NextReadAt_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_HISTORYCHECK_H
