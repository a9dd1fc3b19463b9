#include "decision/core.h"

namespace cranberryspool::decision {

namespace {

constexpr framework::Duration TickInterval = std::chrono::milliseconds(100);

} // namespace

Core::Core(CoreSettings Settings, framework::Random Rng)
    : Settings_(std::move(Settings)), Rng_(Rng) {}

void Core::handle(framework::Moment Now, const Event &Input,
                  ActionList &Output) {
  LastHandled_ = Now.Monotonic_;
  const auto *Arrived = std::get_if<CallArrived>(&Input);
  if (!Arrived)
    return;
  Output.push_back(RefuseCall{Arrived->Call_, calls::Ending::NotRun,
                              calls::EndingReason::NoTarget, TickInterval});
}

framework::Instant Core::nextWakeUp() const {
  return LastHandled_ + TickInterval;
}

} // namespace cranberryspool::decision
