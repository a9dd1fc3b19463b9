#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_PLATFORMREADER_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_PLATFORMREADER_H

#include "fleet/output.h"
#include "fleet/types/sectionkind.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace cranberryspool::fleet {

/// Schedules reads and watches of one published value. Only one read is
/// outstanding at a time; the caller must report the end of each, if necessary
/// as a failure.
class PlatformReader {
public:
  explicit PlatformReader(SectionKind Kind);

  /// Starts a read when one is due. `Known` is the accepted revision. If its
  /// confirmation is overdue, the watch is short, so that its end confirms the
  /// revision soon.
  void tick(bool ShouldRead, std::optional<framework::Revision> Known,
            bool IsOverdue, std::size_t FleetSize, framework::Instant Now,
            OutputList &Output);

  /// Ends the read with a value. Returns when the read started, the time as of
  /// which the value counts.
  std::optional<framework::Instant> finishWithValue(framework::Instant Now);
  /// Ends the watch without a newer value. Returns a time at which the known
  /// revision was still the newest.
  std::optional<framework::Instant> finishUnchanged(framework::Instant Now);
  void finishWithFailure(framework::Instant Now);
  /// Delays the next read, after one that brought no new valid value.
  void delayNextRead(framework::Instant Now);

  std::uint64_t reads() const { return Reads_; }
  /// Returns when the latest failed read started, unless a later one has
  /// succeeded.
  std::optional<framework::Instant> failedReadStartedAt() const {
    return FailedReadStartedAt_;
  }

private:
  struct Outstanding {
    framework::Instant StartedAt_;
    framework::Duration Wait_;
  };

  SectionKind Kind_;
  std::optional<Outstanding> Outstanding_;
  framework::Instant NextAt_{};
  std::optional<framework::Instant> FailedReadStartedAt_;
  std::size_t FleetSize_ = 1;
  std::uint64_t Reads_ = 0;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_PLATFORMREADER_H
