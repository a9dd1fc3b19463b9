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

/// Reads and watches one published value. One read is outstanding at a time;
/// the shell ends each, with a failure if need be.
class PlatformReader {
public:
  explicit PlatformReader(SectionKind Kind);

  /// Starts a read when one is due. `Have` is the accepted revision; a short
  /// watch confirms it at once when the view is old.
  void tick(bool IsReading, std::optional<framework::Revision> Have,
            bool IsViewOld, std::size_t FleetSize, framework::Instant Now,
            OutputList &Output);

  /// The read brought a value. Returns since when the value counts.
  std::optional<framework::Instant> noteValue(framework::Instant Now);
  /// The watch ended unchanged. Returns when it was still the newest.
  std::optional<framework::Instant> handleUnchanged(framework::Instant Now);
  void noteFailed(framework::Instant Now);
  /// The value was of no use: the next read waits.
  void holdBack(framework::Instant Now);

  std::uint64_t reads() const { return Reads_; }
  /// When the latest read began that has ended with a failure, unless a later
  /// one has succeeded.
  std::optional<framework::Instant> failedSince() const { return FailedAt_; }

private:
  struct Outstanding {
    framework::Instant AskedAt_;
    framework::Duration Wait_;
  };

  SectionKind Kind_;
  std::optional<Outstanding> Outstanding_;
  framework::Instant NextAt_{};
  std::optional<framework::Instant> FailedAt_;
  std::size_t FleetSize_ = 1;
  std::uint64_t Reads_ = 0;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_PLATFORMREADER_H
