#ifndef CRANBERRYSPOOL_DECISION_CORE_H
#define CRANBERRYSPOOL_DECISION_CORE_H

#include "decision/action.h"
#include "decision/coresettings.h"
#include "decision/event.h"
#include "framework/moment.h"
#include "framework/random.h"

namespace cranberryspool::decision {

/// All decisions of one instance, without I/O. The same settings, seed and
/// events give the same actions. Not thread-safe: one duty owns a core.
class Core {
public:
  Core(CoreSettings Settings, framework::Random Rng);

  /// Handles one event and appends the actions that follow from it. `Now` must
  /// not be earlier than that of the event before.
  void handle(framework::Moment Now, const Event &Input, ActionList &Output);

  /// Returns the time at which the core wants a `Tick` at the latest.
  framework::Instant nextWakeUp() const;

private:
  CoreSettings Settings_;
  framework::Random Rng_;
  framework::Instant LastHandled_{};
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_CORE_H
