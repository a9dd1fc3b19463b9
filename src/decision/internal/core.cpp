#include "decision/core.h"

#include "decision/internal/engine.h"

#include <utility>

namespace cranberryspool::decision {

Core::Core(CoreSettings Settings, framework::Random Rng)
    : Engine_(std::make_unique<Engine>(std::move(Settings), Rng)) {}

Core::Core(Core &&) noexcept = default;
Core &Core::operator=(Core &&) noexcept = default;
Core::~Core() = default;

void Core::handle(framework::Moment Now, const Event &Input,
                  ActionList &Output) {
  Engine_->handle(EventContext{Now, Output}, Input);
}

framework::Instant Core::nextWakeUp() const { return Engine_->nextWakeUp(); }

CoreStatus Core::status() const { return Engine_->status(); }

ViewStatus Core::view() const { return Engine_->view(); }

const document::EnvironmentDocument *Core::document() const {
  return Engine_->state().Fleet_.currentDocument();
}

std::vector<EndedCall> Core::takeEndedCalls() {
  return std::exchange(Engine_->state().EndedCalls_, {});
}

const CoreCounters &Core::counters() const {
  return Engine_->state().Counters_;
}

} // namespace cranberryspool::decision
