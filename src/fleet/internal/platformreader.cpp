#include "fleet/internal/platformreader.h"
#include "fleet/internal/timing.h"

#include <algorithm>

namespace cranberryspool::fleet {

namespace {

/// The delay after a failed read grows by this much per instance, so that the
/// calls of a large fleet stay within the platform's rate limit.
constexpr framework::Duration RetryDelayPerInstance =
    std::chrono::milliseconds(20);

} // namespace

PlatformReader::PlatformReader(SectionKind Kind) : Kind_(Kind) {}

void PlatformReader::tick(bool ShouldRead,
                          std::optional<framework::Revision> Known,
                          bool IsOverdue, std::size_t FleetSize,
                          framework::Instant Now, OutputList &Output) {
  FleetSize_ = std::max<std::size_t>(FleetSize, 1);
  if (!ShouldRead || Outstanding_ || Now < NextAt_)
    return;
  const framework::Duration WatchWaitTime =
      IsOverdue ? ShortWatchTimeout : WatchTimeout;
  const framework::Duration Wait =
      Known ? WatchWaitTime : framework::Duration{};
  Outstanding_ = Outstanding{Now, Wait};
  ++Reads_;
  Output.push_back(ReadPublished{Kind_, Known, Wait});
}

std::optional<framework::Instant>
PlatformReader::finishWithValue(framework::Instant Now) {
  if (!Outstanding_)
    return std::nullopt;
  const framework::Instant StartedAt = Outstanding_->StartedAt_;
  Outstanding_.reset();
  FailedReadStartedAt_.reset();
  NextAt_ = Now;
  return StartedAt;
}

std::optional<framework::Instant>
PlatformReader::finishUnchanged(framework::Instant Now) {
  if (!Outstanding_)
    return std::nullopt;
  const framework::Instant ConfirmedAt =
      Outstanding_->StartedAt_ + Outstanding_->Wait_;
  Outstanding_.reset();
  FailedReadStartedAt_.reset();
  NextAt_ = Now;
  return std::min(ConfirmedAt, Now);
}

void PlatformReader::delayNextRead(framework::Instant Now) {
  NextAt_ = Now + WatchTimeout;
}

void PlatformReader::finishWithFailure(framework::Instant Now) {
  if (!Outstanding_)
    return;
  FailedReadStartedAt_ = Outstanding_->StartedAt_;
  Outstanding_.reset();
  const auto Scaled =
      RetryDelayPerInstance * static_cast<framework::Duration::rep>(FleetSize_);
  NextAt_ = Now + std::max(ReadRetryDelay, Scaled);
}

} // namespace cranberryspool::fleet
