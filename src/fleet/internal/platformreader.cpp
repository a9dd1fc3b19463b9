#include "fleet/internal/platformreader.h"
#include "fleet/internal/timing.h"

#include <algorithm>

namespace cranberryspool::fleet {

namespace {

/// Adds to the pause after a failed read for each instance, so that the calls
/// of a large fleet stay within the platform's limit.
constexpr framework::Duration RetryPerInstance = std::chrono::milliseconds(20);

} // namespace

PlatformReader::PlatformReader(SectionKind Kind) : Kind_(Kind) {}

void PlatformReader::tick(bool IsReading,
                          std::optional<framework::Revision> Have,
                          bool IsViewOld, std::size_t FleetSize,
                          framework::Instant Now, OutputList &Output) {
  FleetSize_ = std::max<std::size_t>(FleetSize, 1);
  if (!IsReading || Outstanding_ || Now < NextAt_)
    return;
  const framework::Duration LongWait = IsViewOld ? ShortWatchWait : WatchWait;
  const framework::Duration Wait = Have ? LongWait : framework::Duration{};
  Outstanding_ = Outstanding{Now, Wait};
  ++Reads_;
  Output.push_back(ReadPublished{Kind_, Have, Wait});
}

std::optional<framework::Instant>
PlatformReader::noteValue(framework::Instant Now) {
  if (!Outstanding_)
    return std::nullopt;
  const framework::Instant AskedAt = Outstanding_->AskedAt_;
  Outstanding_.reset();
  FailedAt_.reset();
  NextAt_ = Now;
  return AskedAt;
}

std::optional<framework::Instant>
PlatformReader::handleUnchanged(framework::Instant Now) {
  if (!Outstanding_)
    return std::nullopt;
  const framework::Instant Earliest =
      Outstanding_->AskedAt_ + Outstanding_->Wait_;
  Outstanding_.reset();
  FailedAt_.reset();
  NextAt_ = Now;
  return std::min(Earliest, Now);
}

void PlatformReader::holdBack(framework::Instant Now) {
  NextAt_ = Now + WatchWait;
}

void PlatformReader::noteFailed(framework::Instant Now) {
  if (!Outstanding_)
    return;
  FailedAt_ = Outstanding_->AskedAt_;
  Outstanding_.reset();
  const auto Scaled =
      RetryPerInstance * static_cast<framework::Duration::rep>(FleetSize_);
  NextAt_ = Now + std::max(ReadRetry, Scaled);
}

} // namespace cranberryspool::fleet
